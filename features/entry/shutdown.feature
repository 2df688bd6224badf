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
