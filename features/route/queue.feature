Feature: Queue at the entry
  Scenario Outline: A router's queue takes teams in turn by weight
    Given a router queue with 8 jobs of team a and 8 jobs of team b
    When the router queue serves 8 jobs with weights <a> and <b>
    Then the router queue served <served> jobs of team a

    Examples:
      | a | b | served |
      | 1 | 1 | 4      |
      | 3 | 1 | 6      |
      | 1 | 3 | 2      |

  Scenario: A router's queue keeps deadline order within a team
    Given a router queue with jobs due at 9, 3 and 6 seconds
    Then the router queue gives the jobs due at 3, 6 and 9 seconds

  Scenario: A full router queue drops the last job of the longest team
    Given a router queue of 4 places with 4 jobs of team a
    When a job of team b enters the router queue
    Then a job of team a left the router queue

  Scenario: A job is refused when its deadline passes in the router queue
    Given a router queue with jobs due at 9, 3 and 6 seconds
    Then 2 jobs have expired in the router queue at 6 seconds
