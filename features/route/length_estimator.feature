Feature: Expected lengths
  Scenario Outline: A router expects more of a job that has run long
    Given router lengths with 90 jobs of 10 tokens and 30 of 1000
    When <generated> tokens are there, the router expects about <left>

    Examples:
      | generated | left |
      | 0         | 258  |
      | 20        | 980  |
      | 2000      | 1000 |

  Scenario: A router's expectation keeps to the caller's bound
    Given router lengths with 0 jobs of 10 tokens and 0 of 1000
    Then the router expects 64 tokens of a job bounded by 64
