Feature: Headroom policy
  Scenario Outline: A target is chosen by the load that targets report
    Given a headroom policy of 9 entries with 2 targets
    When target 0 reports to the headroom policy: <report>
    And target 1 reports to the headroom policy: half full
    Then the headroom policy sends 2 requests to target <target>

    Examples:
      | report          | target |
      | empty           | 0      |
      | full            | 1      |
      | waiting         | 1      |
      | absurd          | 1      |
      | leaving         | 1      |

  Scenario: A request waits while all targets are full
    Given a headroom policy of 9 entries with 2 targets
    When target 0 reports to the headroom policy: full
    And target 1 reports to the headroom policy: full
    Then the headroom policy lets a request wait

  Scenario: An entry takes only its share of the room that targets report
    Given a headroom policy of 9 entries with 2 targets
    When target 0 reports to the headroom policy: half full
    And target 1 reports to the headroom policy: half full
    Then the headroom policy sends at most 6 of 100 requests at once

  Scenario: A target without a report gets one entry's share if others report
    Given a headroom policy of 9 entries with 2 targets
    When target 1 reports to the headroom policy: full
    Then the headroom policy sends at most 3 of 100 requests at once

  Scenario: A report is not used once it is too old
    Given a headroom policy of 9 entries with 2 targets
    When target 0 reports to the headroom policy: empty
    And 11 seconds pass without a report to the headroom policy
    And target 1 reports to the headroom policy: half full
    Then the headroom policy sends at most 9 of 100 requests at once

  Scenario: Reports of a restarted target count though numbered from one again
    Given a headroom policy of 9 entries with 2 targets
    When target 0 reports to the headroom policy: full
    And 11 seconds pass without a report to the headroom policy
    And target 0 restarts and reports to the headroom policy that it is empty
    Then the headroom policy sends 2 requests to target 0

  Scenario: Requests with the same prefix go to its affinity target
    Given a headroom policy of 9 entries with 2 targets
    When target 0 reports to the headroom policy: empty
    And target 1 reports to the headroom policy: empty
    Then the headroom policy sends 8 requests with one prefix to one target

  Scenario Outline: The number of targets compared for a request is bounded
    Given a headroom policy of 9 entries with <count> targets
    Then the headroom policy compares at most 17 targets

    Examples:
      | count |
      | 9     |
      | 3300  |

  Scenario: Requests that can still meet their deadline are not refused
    Given a headroom policy of 9 entries with 2 targets
    When target 0 reports to the headroom policy: half full
    And target 1 reports to the headroom policy: half full
    Then the headroom policy refuses none of 12 requests due in 10 seconds
