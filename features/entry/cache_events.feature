Feature: Cache events of engines

  Background:
    Given 2 entries that follow the cache events of 2 engines

  Scenario Outline: An entry learns of prefixes that another one sent, <case>
    Given each engine loses <lost> cache events
    When <requests> requests of 4 blocks with other prompts come through the first entry
    Then the second entry knows at least <known> prefixes

    Examples:
      | case          | lost | requests | known |
      | without a gap | 0    | 3        | 12    |
      | with gaps     | 1    | 8        | 24    |

  Scenario: An engine without cache events serves all the same
    Given the engines have no cache events
    When 3 requests of 4 blocks with other prompts come through the first entry
    Then the requests with other prompts were all whole
