Feature: Streamed generations through the gateway

  Background:
    Given a site with engines "e1,e2,e3"

  Scenario Outline: A generation continues after its engine fails
    Given engines that report the backups that they keep
    And the gateway runs
    When the engine that gets the request will "<fault>"
    And a caller opens a stream on route "<route>"
    Then the caller received events 1 to 20 once, in order and complete
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

  Scenario: A generation that may run only once and has no backup is truncated
    Given engines that keep no backups
    And the gateway runs
    When the engine that gets the request will "reset at 9"
    And a caller opens a stream on route "stream"
    Then the caller received events 1 to 8 without an end
    And the request was executed 1 times

  Scenario: The error reply of an engine is forwarded
    Given the gateway runs
    When the engine that gets the request will "failure"
    And a caller opens a stream on route "stream"
    Then the caller gets status 500 and "its failure"

  Scenario Outline: A generation is migrated from an engine that leaves
    Given engines that produce 300 events
    And the gateway runs
    And the store has been reachable for a while
    When a caller opens a stream on route "stream"
    And after <seconds> seconds its engine <leaves>
    Then the caller received events 1 to 300 once, in order and complete
    And the generation continued after a move

    Examples:
      | seconds | leaves |
      | 0.3     | is listed as draining       |
      | 0.3     | is no longer listed         |

  Scenario: A generation stops when its caller disconnects
    Given engines that produce 300 events
    And the gateway runs
    When a caller opens a stream on route "stream"
    And the caller disconnects after 0.3 seconds
    Then no engine produces events after a second

  Scenario: A generation is migrated while the store is unavailable
    Given engines that produce 330 events
    And route "stream" has a timeout of 8000 ms
    And the gateway runs
    And the store has been reachable for a while
    When a caller opens a stream on route "stream" with a deadline of 8000 ms
    And the store stops responding
    And after 1.7 seconds a report of its engine says that it leaves
    Then the caller received events 1 to 330 once, in order and complete
    And the generation continued after a move

  Scenario: Load reports are requested only when a decision needs them
    Given the gateway runs
    And the store has been reachable for a while
    Then no engine was asked for a load report
    When a caller opens a stream on route "stream"
    Then the caller received events 1 to 20 once, in order and complete
    And each engine was asked for a load report at most once
