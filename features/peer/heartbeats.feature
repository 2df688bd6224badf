Feature: Heartbeats over real sockets

  Background:
    Given 6 processes with heartbeats in 3 data centres

  Scenario: All others declare a stopped process dead
    When heartbeats of process 1 stop
    Then all others see process 1 as dead

  Scenario: A restarted process is live again with its new incarnation
    When heartbeats of process 1 stop
    And process 1 restarts with a new incarnation
    Then all others know process 1 by its new incarnation

  Scenario Outline: Relayed probes cover datagram loss between two processes
    When datagrams from process 1 to process 2 are lost <ways>
    And the processes exchange heartbeats for 10 seconds
    Then no process has seen another as dead

    Examples:
      | ways           |
      | one way        |
      | both ways      |

  Scenario: A healed partition converges at a bounded datagram rate
    When processes 1 to 2 are partitioned off until the rest see them as dead
    And the partition heals
    Then every process sees all others as live
    And no process sent more than 6 datagrams per second after healing

  Scenario: Random datagrams are refused and do not stop the protocol
    When 500 random datagrams are sent to each process
    Then each process refused 500 frames
    And every process sees all others as live

  Scenario: A notice reaches every other process once
    When process 1 broadcasts the notice "news"
    Then every other process receives the notice once

  Scenario: A leaving process is seen as leaving by all others
    When process 1 leaves
    Then all others see process 1 as leaving
