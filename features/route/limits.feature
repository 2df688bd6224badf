Feature: Team limits across entries
  Scenario Outline: Routers together hold a team's limit
    Given <count> router limits for a team of at most 90 requests
    When the router limits hear one another <rounds> times
    And each of the router limits takes all it may
    Then the router limits hold between <low> and <high> requests

    Examples:
      | count | rounds | low | high |
      | 1     | 0      | 90  | 90   |
      | 9     | 0      | 81  | 90   |
      | 9     | 1      | 36  | 90   |
      | 9     | 5      | 36  | 90   |
      | 100   | 0      | 100 | 100  |

  Scenario: One busy router limit grows into what idle ones leave
    Given 9 router limits for a team of at most 90 requests
    When 1 of the router limits takes all it may for 40 rounds
    Then the router limits hold between 67 and 90 requests

  Scenario: Router limits in two parts stay below the limit
    Given 9 router limits for a team of at most 90 requests
    When the router limits hear one another 2 times
    And the router limits are split in two for 10 seconds
    And all router limits take all they may for 20 rounds
    Then the router limits hold between 40 and 90 requests

  Scenario: A router limit ignores an older message of a peer
    Given 2 router limits for a team of at most 90 requests
    When a router limit hears that its peer holds 80 and then older news of 0
    Then the router limits hold between 5 and 5 requests
