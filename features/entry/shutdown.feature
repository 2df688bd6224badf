Feature: Graceful shutdown of an entry

  Scenario Outline: Work in progress when an entry is told to stop is completed
    Given a fleet of entries for a shutdown
    When an entry is told to stop during <work>
    Then the work was completed and the entry exited with 0

    Examples:
      | work                                    |
      | a long stream                           |
      | an action without a key                 |
      | an action under its own permit          |
      | an action handed over by another entry  |
      | a request on a connection kept open     |
      | a request that comes within the notice  |
      | an answer that its caller reads slowly  |

  Scenario: An entry is unready before its listener closes and issues no more permits
    Given a fleet of entries for a shutdown
    When an entry is told to stop with a long notice
    Then it is not ready, still answers, closes connections and issues no permits

  Scenario: A stopping entry honours an unused permit until it expires
    Given a fleet of entries for a shutdown
    When an entry is told to stop while it owns an unused permit
    Then the permit can still be used through another entry
    And the entry exits after the key has expired

  Scenario: After a second signal the entry waits for requests but not for keys
    Given a fleet of entries for a shutdown
    When an entry that owns an unused permit receives a second signal during an action
    Then the action was completed and the entry exited with 0

  Scenario: The configured deadline bounds the shutdown
    Given a fleet of entries for a shutdown
    When an entry with a deadline is told to stop during an action that does not end
    Then the entry exited with 0 and the action's caller was not told "not_run"

  Scenario: A rolling restart under load interrupts no stream and no action
    Given a fleet of entries for a shutdown
    When all entries are replaced one by one during streams and actions
    Then every stream and action was completed and each action ran once

  # The deadline of a shutdown comes whatever is still in progress. A request
  # that was accepted and ends with a closed connection leaves its caller
  # without a word on whether it has run.
  Scenario Outline: At its drain deadline an entry tells the truth about each request
    Given a fleet of entries for a shutdown
    And an entry with a drain deadline and <state>
    When the entry is told to stop and ends by its drain deadline
    And its caller reads all that the entry has sent
    Then the answer has the status <status> and the outcome "<outcome>"

    Examples: not run
      | state                         | status | outcome |
      | an action that waits for room | 503    | not_run |
      | half a body                   | 503    | not_run |
      | half a head                   | 503    | not_run |

    Examples: may have run
      | state                                          | status | outcome |
      | an action that its service runs                | 504    | unknown |
      | an action under a permit that its service runs | 504    | unknown |
      | a generation without its first token           | 504    | unknown |
      | a whole generation in the middle               | 504    | unknown |
      | an action with a further request sent ahead    | 504    | unknown |
      | an action whose key is being claimed           | 504    | unknown |

    Examples: answered
      | state                                  | status | outcome |
      | an answer that its caller has not read | 200    | done    |

  Scenario: At its drain deadline an entry ends a stream as incomplete
    Given a fleet of entries for a shutdown
    And an entry with a drain deadline and a stream in the middle
    When the entry is told to stop and ends by its drain deadline
    And its caller reads all that the entry has sent
    Then the stream ends with an error whose outcome is "unknown"

  # Only its time-out bounds a request; one that is accepted on the expectation
  # that it is short is cut off at the deadline.
  Scenario Outline: With a drain deadline a stopping entry refuses what may end after it
    Given a fleet of entries for a shutdown
    And an entry with a drain deadline that a stream keeps busy
    When <request> is sent while the entry stops
    Then it gets the status <status> and the outcome "<outcome>" before the deadline
    And it has run <runs> times

    Examples: refused
      | request                                            | status | outcome | runs |
      | an action that may end too late                    | 503    | not_run | 0    |
      | an action under its permit                         | 503    | not_run | 0    |
      | an action under the permit of another entry        | 503    | not_run | 0    |
      | an action under its permit by way of another entry | 503    | not_run | 0    |
      | a stream                                           | 503    | not_run | 0    |
      | a whole generation                                 | 503    | not_run | 0    |
      | the rest of a stream                               | 503    | not_run | 0    |

    Examples: served
      | request                                 | status | outcome | runs |
      | an action that ends in time             | 200    | done    | 1    |
      | an action under its permit that has run | 200    | done    | 1    |

  # An event loop that is busy hears of the signal late, and whoever sent it
  # counts from then.
  Scenario: The drain deadline counts from the arrival of the signal
    Given an entry with a drain deadline whose event loop is busy
    When a signal to stop arrives before the event loop hears of it
    Then the final responses are due by the deadline from its arrival

  Scenario Outline: Only a second signal ends the wait for keys
    Given a process that handles the signals of an operator
    When <count> signals to stop arrive one after the other
    Then it stops, and it <waits> for keys

    Examples:
      | count | waits         |
      | 1     | waits         |
      | 2     | does not wait |
