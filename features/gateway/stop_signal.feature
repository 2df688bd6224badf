Feature: A stop counts from the arrival of its signal

  # The platform counts the grace from the signal; an event loop that is busy
  # hears of it late, and then accepts requests that SIGKILL cuts off.
  Scenario: A signal that the event loop hears of late counts from its arrival
    Given a process that handles the signals to stop
    When a signal to stop arrives while a task computes
    Then the signal is known to have arrived before the task has ended

  Scenario: A second signal to stop does not move the end of the grace
    Given a process that handles the signals to stop
    When a signal to stop arrives while a task computes
    And another signal to stop arrives
    Then the signal is known to have arrived before the task has ended

  Scenario Outline: A stop that is acted on late accepts and ends requests by its signal
    Given a site with plain targets "a"
    And targets that work for <work> seconds on a request
    And a gateway whose grace is 6 seconds runs
    And a caller that keeps its connection open
    When the gateway acts <late> seconds late on the signal to stop
    And <after> seconds later the caller sends a request to route "safe" that may take <deadline> seconds
    Then the caller gets status <status>
    And the request was executed <runs> times
    And no more than 6 seconds have passed since the signal

    Examples: refused, since the signal came over 2.5 seconds before
      | late | after | work | deadline | status | runs |
      | 1.5  | 1.2   | 0.2  | 30       | 503    | 0    |

    Examples: answered before SIGKILL
      | late | after | work | deadline | status | runs |
      | 1.5  | 0.2   | 9.0  | 30       | 504    | 1    |

  # The end of the grace is acted on late too.
  Scenario: A process whose event loop is busy answers before SIGKILL
    Given a site with plain targets "a"
    And targets that work for 9.0 seconds on a request
    And a gateway whose grace is 6 seconds runs
    And a caller that keeps its connection open
    When the gateway acts 0.0 seconds late on the signal to stop
    And 0.2 seconds later the caller sends a request to route "safe" that may take 30 seconds
    And a task computes for 0.6 seconds at a time
    Then the caller gets status 504
    And no more than 6 seconds have passed since the signal
