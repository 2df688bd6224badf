Feature: A planned stop cuts off no request in progress

  Scenario Outline: What is in progress when an entry is told to stop ends in its own time
    Given entries for a shutdown
    When an entry is told to stop during <work>
    Then the work ended whole and the entry ended with 0

    Examples:
      | work                                    |
      | a long stream                           |
      | an action without a key                 |
      | an action under its own permit          |
      | an action handed over by another entry  |
      | a request on a connection kept open     |
      | a request that comes within the notice  |
      | an answer that its caller reads slowly  |

  Scenario: Readiness goes before the listener, and no more permits are given
    Given entries for a shutdown
    When an entry is told to stop with a long notice
    Then it is not ready, still answers, asks for new connections and gives no permits

  Scenario: A result that nobody fetched stays answerable until the permit expires
    Given entries for a shutdown
    When an entry is told to stop while it owns an unused permit
    Then the permit can still be used through another entry
    And the entry ends after the key is over

  Scenario: A second signal waits for requests but no longer for keys
    Given entries for a shutdown
    When an entry that owns an unused permit gets a second signal during an action
    Then the action ended whole and the entry ended with 0

  Scenario: The operator's deadline bounds the shutdown
    Given entries for a shutdown
    When an entry with a deadline is told to stop during an action that does not end
    Then the entry ended with 0 and the action's caller was not told "not_run"

  Scenario: A rolling restart of all entries under load cuts nothing
    Given entries for a shutdown
    When all entries are replaced in turn under streams and actions
    Then no stream and no action was cut, and each action ran once
