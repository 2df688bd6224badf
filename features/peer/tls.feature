Feature: TLS between entries

  Scenario Outline: A call is answered only among entries of one authority
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

  Scenario: A caller that never shakes hands holds up no other
    Given a link that listens with TLS and one that calls with TLS
    When 5 connections to the listening link send nothing
    Then the call over the links gives an answer

  Scenario: Calls to peers need an authority
    Then TLS files without an authority are refused for calls to peers
