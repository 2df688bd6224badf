Feature: Callers that close their side, or do not read

  # The end of a caller's bytes looks the same whether it has left or waits for
  # its answer. The connection closed without a word.
  Scenario Outline: A caller that half-closes its side <when> a whole request is told its outcome
    Given a site with plain targets "a"
    And targets that take 0.8 seconds
    And the gateway runs
    When a caller half-closes its side <when> a request to route "<route>"
    Then the half-closed caller gets <answer>
    And target "a" executed 1 requests
    And the gateway counts <count> requests as unanswered while waiting

    Examples: the run of a request that may not run again is not broken off
      | route | when             | answer | count |
      | once  | right after      | 200    | 0     |
      | once  | 0.3 s after      | 200    | 0     |

    Examples: others are, as most callers have left
      | route | when             | answer | count |
      | safe  | 0.3 s after      | 502    | 1     |

  Scenario: A caller that half-closes its side while its request waits is refused
    Given a site with engines "e1"
    And engines that are full
    And the gateway runs
    When a caller half-closes its side 0.3 s after a request to route "stream"
    Then the half-closed caller gets 503
    And the gateway counts 1 requests as unanswered while waiting

  # The platform allows nothing to reach a target half a second after the close.
  Scenario: A request is not sent again long after its caller has closed its side
    Given a site with plain targets "a,b"
    And targets that turn requests away after 0.8 seconds
    And the gateway runs
    When a caller half-closes its side right after a request to route "once"
    Then the half-closed caller gets 503
    And the request came to 1 target

  Scenario Outline: A caller that half-closes its side within a request is counted
    Given a site with plain targets "a"
    And the gateway runs
    When a caller half-closes its side within the <part> of a request
    Then the half-closed caller gets no response
    And the gateway counts 1 requests as unanswered while reading

    Examples:
      | part |
      | head |
      | body |

  Scenario: A response that is not read in time is cut and counted
    Given a site with plain targets "a"
    And target "a" answers with 8 MB
    And route "once" has a timeout of 9000 ms
    And an idle time-out of 500 ms
    And the gateway runs
    When a caller does not read its response for 3 seconds
    Then the caller has a part of the response, and the connection is closed
    And the gateway counts 1 requests as unanswered while responding
