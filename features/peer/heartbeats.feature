Feature: Heartbeats over real sockets

  Background:
    Given 6 processes with heartbeats in 3 places

  Scenario: A process that stops is suspected, then dead, everywhere
    When heartbeats of process 1 stop
    Then all others believe that process 1 is dead

  Scenario: A process that starts again under the same name is live again
    When heartbeats of process 1 stop
    And process 1 starts again with a new incarnation
    Then all others know process 1 by its new incarnation

  Scenario Outline: A cut between two processes that others can bridge
    When datagrams from process 1 to process 2 are lost <ways>
    And 10 seconds of heartbeats pass
    Then no process believes that another is dead

    Examples:
      | ways           |
      | one way        |
      | both ways      |

  Scenario: The sides of a partition find each other again without a flood
    When processes 1 to 2 are cut off from the rest until they are dead to them
    And the partition heals
    Then every process believes that all are live
    And no process sent more than 6 datagrams a second after the heal

  Scenario: Bad input does not end a task
    When 500 random datagrams are sent to each process
    Then each process refused 500 frames
    And every process believes that all are live

  Scenario: News reaches every process once
    When process 1 tells "news" to all
    Then every process got it once

  Scenario: A process that leaves says so
    When process 1 says that it is leaving
    Then all others believe that process 1 is leaving
