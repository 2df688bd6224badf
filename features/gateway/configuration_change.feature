Feature: A change of the configuration leaves the requests that run alone

  Scenario Outline: A stream goes on while the configuration of its engine changes
    Given a site with engines "e1,e2,e3"
    And engines that produce 150 events
    And the gateway runs
    And the store has been reachable for a while
    When a caller opens a stream on route "<route>"
    And after 0.3 seconds the operator <does>
    Then the caller received events 1 to 150 once, in order and complete
    And no request had an unexpected error

    Examples:
      | route  | does                                          |
      | stream | drops the service of the engines              |
      | resume | drops the service of the engines              |
      | stream | drops the service and lists it again          |
      | stream | lists the service of the engines as plain     |
      | stream | shrinks the engines and forbids migrations    |
      | stream | drops the route                               |
      | stream | takes the key away                            |
      | stream | lists an engine under another service         |

  Scenario: A stream is migrated although its service is no longer listed
    Given a site with engines "e1,e2,e3"
    And engines that produce 200 events
    And the gateway runs
    And the store has been reachable for a while
    When a caller opens a stream on route "stream"
    And after 0.2 seconds the operator drops the service of the engines
    And after 0.1 seconds its engine is listed as draining
    Then the caller received events 1 to 200 once, in order and complete
    And the generation continued after a move

  Scenario Outline: A plain request that runs is answered while its service changes
    Given a site with plain targets "a"
    And targets that work for 0.8 seconds on a request
    And the gateway runs
    When a caller sends a request to route "<route>" and the operator <does>
    Then the caller gets status 200 and "its answer"
    And the request was executed 1 times

    Examples:
      | route | does                                 |
      | once  | drops the service of plain targets   |
      | safe  | drops the service of plain targets   |
      | once  | drops the route                      |
