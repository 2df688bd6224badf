Feature: A request ends when its caller leaves or its time is up, whatever it waits for

  Scenario Outline: A caller that leaves while a call is in progress ends the run
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And the gateway runs
    When the engine that gets the request will "silent at 9"
    And a caller opens a stream on route "<route>"
    And reports of load hang from then on
    And the caller leaves while the engine of the backup is asked
    Then the engine's connection closes within half a second

    Examples:
      | route  |
      | stream |

  Scenario: A deadline that passes while a call is in progress ends the stream
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And route "stream" has a timeout of 1350 ms
    And the gateway runs
    When the engine that gets the request will "silent at 9"
    And a caller opens a stream on route "stream"
    And reports of load hang from then on
    Then the caller received events 1 to 8 without an end
    And the engine's connection closes within half a second

  Scenario: A reservation is released if its caller leaves before it is used
    Given a site with engines "e1"
    And the gateway runs
    When a caller leaves right after an engine was reserved for its request
    Then the reservation is released

  Scenario Outline: Reasons to end a request are no failures of a target or a call
    Then the gateway does not handle "<error>" as a failure of a target

    Examples:
      | error           |
      | CallerLeftError |
      | OutOfTimeError  |
      | StoppingError   |
