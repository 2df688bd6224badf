Feature: Real gateway processes keep the promises while faults strike

  Scenario Outline: A seeded run, <seed>
    When <gateways> gateways are soaked for <seconds> seconds with <faults> faults of seed <seed>
    Then no promise was broken

    Examples: the first ones are plain; the others failed once, see docs/SOAK.md
      | seed | gateways | seconds | faults |
      | 1    | 3        | 10      | 5      |
      | 5    | 4        | 16      | 8      |
      | 8    | 4        | 16      | 8      |
      | 12   | 4        | 16      | 8      |
      | 13   | 4        | 16      | 8      |
      | 30   | 4        | 16      | 8      |
      | 31   | 4        | 16      | 8      |
      | 37   | 4        | 16      | 8      |

  Scenario: A gateway whose log nobody reads goes on serving
    When 1 gateway whose log nobody reads is soaked for 6 seconds
    Then no promise was broken
    And its log went to standard output
