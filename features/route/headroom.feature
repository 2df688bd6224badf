Feature: Headroom policy
  Scenario Outline: A router's policy judges a target by its reports
    Given a router policy with 9 entries before 2 targets
    When the router policy hears from target 0: <report>
    And the router policy hears from target 1: half full
    Then the router policy sends 2 jobs to target <target>

    Examples:
      | report          | target |
      | empty           | 0      |
      | full            | 1      |
      | waiting         | 1      |
      | absurd          | 1      |
      | leaving         | 1      |

  Scenario: A router's policy lets a job wait rather than be preempted
    Given a router policy with 9 entries before 2 targets
    When the router policy hears from target 0: full
    And the router policy hears from target 1: full
    Then the router policy lets a job wait

  Scenario: A router's policy takes only its part of what a report shows
    Given a router policy with 9 entries before 2 targets
    When the router policy hears from target 0: half full
    And the router policy hears from target 1: half full
    Then the router policy sends at most 6 of 100 jobs before it waits

  Scenario: A silent target beside reporting ones gets one entry's part
    Given a router policy with 9 entries before 2 targets
    When the router policy hears from target 1: full
    Then the router policy sends at most 3 of 100 jobs before it waits

  Scenario: A router's policy stops trusting a frozen report
    Given a router policy with 9 entries before 2 targets
    When the router policy hears from target 0: empty
    And the router policy hears nothing for 11 seconds
    And the router policy hears from target 1: half full
    Then the router policy sends at most 9 of 100 jobs before it waits

  Scenario: A target that restarted counts its reports from one again
    Given a router policy with 9 entries before 2 targets
    When the router policy hears from target 0: full
    And the router policy hears nothing for 11 seconds
    And target 0 of the router policy restarts and reports to be empty
    Then the router policy sends 2 jobs to target 0

  Scenario: A router's policy keeps a prefix on its home
    Given a router policy with 9 entries before 2 targets
    When the router policy hears from target 0: empty
    And the router policy hears from target 1: empty
    Then the router policy sends 8 jobs with one prefix to one target

  Scenario Outline: A router's policy compares a bounded number of targets
    Given a router policy with 9 entries before <count> targets
    Then the router policy compares at most 17 targets

    Examples:
      | count |
      | 9     |
      | 3300  |

  Scenario: A job that can still be in time waits though its patience is short
    Given a router policy with 9 entries before 2 targets
    When the router policy hears from target 0: half full
    And the router policy hears from target 1: half full
    Then the router policy refuses none of 12 jobs due in 10 seconds
