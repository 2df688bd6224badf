Feature: JSON calls over persistent connections

  Scenario Outline: Silence ends a call, a large response over a slow link does not
    Given a server that sends its response in <pieces> pieces, <gap> seconds apart
    When a JSON call is made to it with a timeout of 0.5 seconds
    Then the JSON call ends with <result>

    Examples: the timeout limits the time without a byte, not the whole response
      | pieces | gap | result                |
      | 10     | 0.2 | the complete response |
      | 1      | 0.0 | the complete response |
      | 2      | 3.0 | a timeout             |
