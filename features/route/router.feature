Feature: Router of one entry
  Background:
    Given a router with 3 targets of 2 slots

  Scenario: Without load reports, requests are spread evenly
    When the router places 6 requests
    Then each of the router's targets has 2 requests

  Scenario Outline: A request that can't be placed is refused before sending
    Given the router's situation is <situation>
    When the router is given a request due in <due> seconds
    Then the router raises <error>

    Examples:
      | situation            | due  | error           |
      | no targets           | 1    | NoTargetError   |
      | all targets leaving  | 1    | NoTargetError   |
      | all targets excluded | 1    | NoTargetError   |
      | all slots taken      | 0.01 | OverloadedError |
      | team at its limit    | 1    | TeamLimitError  |

  Scenario: A waiting request gets the slot of a request that ends
    Given the router's situation is all slots taken
    When a request waits in the router and another ends
    Then the waiting request has the freed slot of the router

  Scenario: A request whose caller leaves is removed from the queue
    Given the router's situation is all slots taken
    When the task of a request that waits in the router is killed
    Then the router has no request waiting and 6 requests placed

  Scenario: A failing target gets no requests although it answers fast
    When target 0 of the router fails 5 requests
    And the router places 4 requests
    Then target 0 of the router has no request

  Scenario: A request waits for an ejected target if it tried all others
    When target 0 of the router fails 5 requests
    And the router is given a request that has tried all but target 0
    Then the router places it on target 0

  Scenario: Failing targets stay in use when most targets fail
    When all targets of the router fail 5 requests
    And the router places 4 requests
    Then at least 2 of the router's targets have requests

  Scenario: A team's bad requests open no circuit
    When a team's bad request fails 6 times on each of the router's targets
    Then at most 0 circuits of the router are open

  Scenario: The router's dump shows its policy, targets and circuits
    When target 0 of the router fails 5 requests
    Then the router's dump shows target 0 with an open circuit

  Scenario: Output lengths are learnt from requests that are done
    When the router completes 40 requests of 100 tokens
    Then the router expects about 100 tokens

  Scenario: Waiting requests share the polling of the queue
    Given a router of 6 slots whose clock stands still
    When 20 requests wait in the router for four poll intervals
    Then the router dispatched its queue at most 21 times

  Scenario Outline: Retries are granted from a budget fed by first attempts
    When the router places <count> requests that end at once
    Then the router grants <granted> of 30 retries

    Examples:
      | count | granted |
      | 0     | 20      |
      | 100   | 20      |

  Scenario: First attempts refill a retry budget that was used up
    Then the router grants 20 of 30 retries
    When the router places 50 requests that end at once
    Then the router grants 5 of 30 retries

  Scenario Outline: A team with little load goes before one that floods
    Given the router's situation is all slots taken
    When <flood> requests of one team and then one of another wait in the router
    And 2 requests of the router end
    Then the other team's request is placed by the router

    Examples:
      | flood |
      | 2     |
      | 40    |

  Scenario: Targets that stay in the list keep their state
    When the router places 6 requests
    And the router gets the same list again
    Then each of the router's targets has 2 requests

  Scenario Outline: A load report counts only if it is new and plausible
    When target 0 of the router reports number 5 and then <number> with <free>
    Then the report of target 0 in the router has number <kept>

    Examples:
      | number | free | kept |
      | 6      | 10   | 6    |
      | 4      | 10   | 5    |
      | 6      | 900  | 5    |
      | 6      | -1   | 5    |

  Scenario: An unknown policy is refused
    When the router is told to use the policy "best"
    Then the router raises UnknownNameError
