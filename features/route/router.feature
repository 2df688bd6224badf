Feature: Router of one entry
  Background:
    Given a router with 3 targets of 2 slots

  Scenario: A router without load reports spreads jobs
    When the router places 6 jobs
    Then each of the router's targets has 2 jobs

  Scenario Outline: A router refuses before anything is sent
    Given the router's situation is <situation>
    When the router is offered a job due in <due> seconds
    Then the router raises <error>

    Examples:
      | situation            | due  | error           |
      | no targets           | 1    | NoTargetError   |
      | all targets leaving  | 1    | NoTargetError   |
      | all targets excluded | 1    | NoTargetError   |
      | all slots taken      | 0.01 | OverloadedError |
      | team at its limit    | 1    | TeamLimitError  |

  Scenario: A waiting job of a router gets the slot of one that ends
    Given the router's situation is all slots taken
    When a job waits in the router and another ends
    Then the waiting job has the slot in the router

  Scenario: A caller that leaves frees its place in the router
    Given the router's situation is all slots taken
    When a job that waits in the router is killed
    Then the router has no job waiting and 6 jobs placed

  Scenario: A router keeps away from a target that answers fast as it fails
    When target 0 of the router fails 5 jobs
    And the router places 4 jobs
    Then target 0 of the router has no job

  Scenario: A router waits for a closed-off target when all others were tried
    When target 0 of the router fails 5 jobs
    And the router is offered a job that was tried on all but target 0
    Then the router places it on target 0

  Scenario: A router uses failing targets when most of them fail
    When all targets of the router fail 5 jobs
    And the router places 4 jobs
    Then at least 2 of the router's targets have jobs

  Scenario: One team's bad requests close no router target to others
    When a team's bad request fails 6 times on each of the router's targets
    Then at most 0 circuits of the router are open

  Scenario: A router's dump names policy, targets and circuits
    When target 0 of the router fails 5 jobs
    Then the router's dump shows target 0 with an open circuit

  Scenario: A router learns lengths from jobs that are done
    When the router sees 40 jobs of 100 tokens done
    Then the router expects about 100 tokens

  Scenario: Waiting jobs share the polls of a router
    Given a router of 6 slots whose clock stands still
    When 20 jobs wait in the router for four polls
    Then the router looked at its queue at most 21 times

  Scenario Outline: A router grants retries from a budget of first tries
    When the router places <tries> jobs that end at once
    Then the router grants <granted> of 30 retries

    Examples:
      | tries | granted |
      | 0     | 20      |
      | 100   | 20      |

  Scenario: A router's retry budget fills up with first tries
    Then the router grants 20 of 30 retries
    When the router places 50 jobs that end at once
    Then the router grants 5 of 30 retries

  Scenario Outline: A team under its share passes one that floods the router
    Given the router's situation is all slots taken
    When <flood> jobs of one team and then one of another wait in the router
    And 2 jobs of the router end
    Then the other team's job is placed by the router

    Examples:
      | flood |
      | 2     |
      | 40    |

  Scenario: A router keeps what it knows of targets that stay in the list
    When the router places 6 jobs
    And the router gets the same list again
    Then each of the router's targets has 2 jobs

  Scenario Outline: A router's report counts only if it is new and plausible
    When target 0 of the router reports number 5 and then <number> with <free>
    Then the report of target 0 in the router has number <kept>

    Examples:
      | number | free | kept |
      | 6      | 10   | 6    |
      | 4      | 10   | 5    |
      | 6      | 900  | 5    |
      | 6      | -1   | 5    |

  Scenario: A router refuses a policy that it does not know
    When the router is told to use the policy "best"
    Then the router raises UnknownNameError
