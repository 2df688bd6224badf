Feature: Queue of an entry
  Scenario Outline: Teams are served in proportion to their weights
    Given a router queue with 8 requests of team a and 8 of team b
    When the router queue serves 8 requests with weights <a> and <b>
    Then the router queue served <served> requests of team a

    Examples:
      | a | b | served |
      | 1 | 1 | 4      |
      | 3 | 1 | 6      |
      | 1 | 3 | 2      |

  Scenario: Requests of one team are served in order of their deadlines
    Given a router queue with requests due at 9, 3 and 6 seconds
    Then the router queue serves the requests due at 3, 6 and 9 seconds

  Scenario: A full queue drops the last request of the team with the most
    Given a router queue of at most 4 requests with 4 of team a
    When a request of team b enters the router queue
    Then a request of team a was dropped from the router queue

  Scenario: Requests expire in the queue when their time to wait has passed
    Given a router queue with requests due at 9, 3 and 6 seconds
    Then 2 requests have expired in the router queue at 6 seconds
