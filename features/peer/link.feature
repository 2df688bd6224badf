Feature: Calls between entry processes

  Scenario Outline: A failed call says whether a byte may have left
    Given a peer that <fault>
    When a call is made to the peer
    Then the call fails as "<code>" with sent <sent>

    Examples:
      | fault                            | code             | sent  |
      | does not listen                  | peer_unavailable | False |
      | closes each connection           | peer_unavailable | True  |
      | never answers                    | peer_unavailable | True  |
      | answers with another number      | bad_frame        | None  |
      | answers with 4 GB                | bad_frame        | None  |

  Scenario: A timeout of the caller's own is not swallowed
    Given a peer that never answers
    When a call is made under a shorter timeout of the caller
    Then the caller's timeout is raised

  Scenario Outline: A handler that fails answers with a code and lives on
    Given a peer whose handler raises <error>
    When a call is made to the peer
    Then the call fails as "peer_unavailable" with sent True
    And the peer still answers another kind

    Examples:
      | error        |
      | a typed one  |
      | ValueError   |
      | KjException  |
