Feature: Hashes of the leading blocks of requests

  Scenario Outline: Requests share the hashes of equal leading blocks
    Then two requests of <size> bytes that differ at byte <where> share <count> block hashes

    Examples:
      | size | where | count |
      | 100  | 50    | 0     |
      | 3000 | 2999  | 2     |
      | 3000 | 1500  | 1     |
      | 3000 | 10    | 0     |
      | 9999 | 9998  | 8     |
