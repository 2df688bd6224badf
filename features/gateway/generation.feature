Feature: Generations through the gateway

  Background:
    Given a site with engines "e1,e2,e3"

  Scenario Outline: An engine fails and the generation goes on
    Given the gateway runs
    When the engine that gets the request will "<fault>"
    And a caller streams on route "<route>"
    Then the caller has events 1 to 20 once and in order, and the end
    And the generation was served by <engines> engines

    Examples:
      | route  | fault        | engines |
      | stream |              | 1       |
      | stream | reset at 9   | 2       |
      | stream | half at 9    | 2       |
      | stream | skip at 9    | 2       |
      | stream | silent at 9  | 2       |
      | stream | shed         | 1       |
      | resume | reset at 9   | 2       |
      | resume | half at 1    | 2       |
      | resume | silent at 1  | 2       |

  Scenario: Without a copy a generation that may run once only is cut
    Given the engines keep no copies
    And the gateway runs
    When the engine that gets the request will "reset at 9"
    And a caller streams on route "stream"
    Then the caller has events 1 to 8 and no end
    And the request ran 1 times

  Scenario: An engine's own failure is passed on
    Given the gateway runs
    When the engine that gets the request will "failure"
    And a caller streams on route "stream"
    Then the caller gets status 500 and "its failure"

  Scenario Outline: An engine leaves
    Given engines that make 300 events
    And the gateway runs
    And the store has been in reach for a while
    When a caller streams on route "stream"
    And after <seconds> seconds its engine <leaves>
    Then the caller has events 1 to 300 once and in order, and the end
    And the generation went on by a move

    Examples:
      | seconds | leaves |
      | 0.3     | is listed as draining       |
      | 0.3     | is no longer listed         |

  Scenario: A caller that leaves stops its generation
    Given engines that make 300 events
    And the gateway runs
    When a caller streams on route "stream"
    And the caller leaves after 0.3 seconds
    Then no engine works after a second

  Scenario: An engine leaves while the store is away
    Given engines that make 330 events
    And the gateway runs
    And the store has been in reach for a while
    When a caller streams on route "stream"
    And the store falls silent
    And the report of its engine says after 1.7 seconds that it leaves
    Then the caller has events 1 to 330 once and in order, and the end
    And the generation went on by a move

  Scenario: Engines are asked for their load only when a decision needs it
    Given the gateway runs
    And the store has been in reach for a while
    Then no engine was asked for its load
    When a caller streams on route "stream"
    Then the caller has events 1 to 20 once and in order, and the end
    And each engine was asked for its load at most once
