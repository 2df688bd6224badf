Feature: Calls between entry processes

  Scenario Outline: A failed call reports whether any byte may have been sent
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

  Scenario: A timeout of the caller is raised unchanged
    Given a peer that never answers
    When a call is made under a shorter timeout of the caller
    Then the caller's timeout is raised

  Scenario Outline: A peer whose handler fails answers with an error and keeps serving
    Given a peer whose handler raises <error>
    When a call is made to the peer
    Then the call fails as "peer_unavailable" with sent True
    And the peer still answers a message of another kind

    Examples:
      | error         |
      | BadInputError |
      | ValueError    |
      | KjException   |
