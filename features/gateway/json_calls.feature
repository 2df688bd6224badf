Feature: Calls that are answered with JSON

  Scenario Outline: An answer over a slow link
    Given a server whose answer comes in <pieces> pieces, <gap> seconds apart
    When it is called with a timeout of 0.5 seconds
    Then the answer is <result>

    Examples: silence ends a call, not the time that a large answer takes
      | pieces | gap | result |
      | 10     | 0.2 | whole  |
      | 1      | 0.0 | whole  |
      | 2      | 3.0 | silent |
