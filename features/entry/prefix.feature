Feature: Prefixes of requests
  Scenario Outline: Equal leading blocks give equal prefixes
    Then two requests of <size> bytes that differ at <where> share <count> blocks

    Examples:
      | size | where | count |
      | 100  | 50    | 0     |
      | 3000 | 2999  | 2     |
      | 3000 | 1500  | 1     |
      | 3000 | 10    | 0     |
      | 9999 | 9998  | 8     |
