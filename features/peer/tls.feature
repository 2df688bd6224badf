Feature: TLS between entries

  Scenario Outline: A call succeeds only if both sides use one authority or no TLS
    Given a link that listens with <server> and one that calls with <client>
    Then the call over the links gives <result>

    Examples:
      | server               | client               | result           |
      | no TLS               | no TLS               | an answer        |
      | TLS                  | TLS                  | an answer        |
      | TLS                  | no TLS               | a failure        |
      | TLS                  | no certificate       | a failure        |
      | TLS                  | another authority    | a failure, unsent |
      | no TLS               | TLS                  | a failure, unsent |

  Scenario: Connections without a handshake do not block other calls
    Given a link that listens with TLS and one that calls with TLS
    When 5 connections to the listening link send nothing
    Then the call over the links gives an answer

  Scenario: TLS files for calls to peers need an authority
    Then TLS files without an authority are refused for calls to peers
