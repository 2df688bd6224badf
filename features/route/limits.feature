Feature: Concurrency limits of teams across entries
  Scenario Outline: Entries together keep a team's limit
    Given <count> router limits for a team of at most 90 requests
    When the router limits exchange usage messages <rounds> times
    And each of the router limits admits as many requests as it may
    Then the router limits have between <low> and <high> requests in progress

    Examples:
      | count | rounds | low | high |
      | 1     | 0      | 90  | 90   |
      | 9     | 0      | 81  | 90   |
      | 9     | 1      | 36  | 90   |
      | 9     | 5      | 36  | 90   |
      | 100   | 0      | 100 | 100  |

  Scenario: A busy entry takes over most of what idle entries don't use
    Given 9 router limits for a team of at most 90 requests
    When 1 of the router limits admits as many as it may for 40 rounds
    Then the router limits have between 67 and 90 requests in progress

  Scenario: Entries on two sides of a partition stay below the limit
    Given 9 router limits for a team of at most 90 requests
    When the router limits exchange usage messages 2 times
    And the router limits are partitioned for 10 seconds
    And all router limits admit as many as they may for 20 rounds
    Then the router limits have between 40 and 90 requests in progress

  Scenario: A usage message older than the last one is ignored
    Given 2 router limits for a team of at most 90 requests
    When a peer of the router limits reports 80 and then a late message of 0
    Then the router limits have between 5 and 5 requests in progress
