Feature: Cache events of engines

  Background:
    Given 2 entries that follow the cache events of 2 engines

  Scenario Outline: An entry learns the prefixes of requests to another entry, <case>
    Given each engine drops <lost> cache events
    When <requests> requests with distinct prompts of 4 blocks are sent to the first entry
    Then the second entry knows at least <known> prefixes

    Examples:
      | case          | lost | requests | known |
      | without a gap | 0    | 3        | 12    |
      | with gaps     | 1    | 8        | 24    |

  Scenario: Engines that publish no cache events still serve requests
    Given the engines publish no cache events
    When 3 requests with distinct prompts of 4 blocks are sent to the first entry
    Then the requests with distinct prompts all returned 200
