Feature: Estimates of output lengths
  Scenario Outline: A request that has run long is expected to run longer
    Given a router has seen 90 requests of 10 tokens and 30 of 1000
    When <generated> tokens were generated, the router expects about <left> more

    Examples:
      | generated | left |
      | 0         | 258  |
      | 20        | 980  |
      | 2000      | 1000 |

  Scenario: An estimate never exceeds the caller's limit on the output
    Given a router has seen 0 requests of 10 tokens and 0 of 1000
    Then the router expects 64 tokens of a request limited to 64
