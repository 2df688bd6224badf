Feature: Token rate limits of teams and overload limits
  Scenario Outline: A team is admitted until its token bucket is empty
    Given a router token rate of 100 a second over <entries> entries
    When <tokens> tokens of the router's team are generated
    Then the router's team must wait <seconds> seconds

    Examples:
      | entries | tokens | seconds |
      | 1       | 0      | 0       |
      | 1       | 199    | 0       |
      | 1       | 200    | 0.01    |
      | 1       | 300    | 1.01    |
      | 10      | 20     | 0.1     |
      | 10      | 40     | 2.1     |

  Scenario: A token bucket refills with time, up to its capacity
    Given a router token rate of 100 a second over 1 entries
    When 300 tokens of the router's team are generated
    And 1.5 seconds of the router's token rate pass
    Then the router's team must wait 0 seconds
    When 1000 seconds of the router's token rate pass
    And 201 tokens of the router's team are generated
    Then the router's team must wait 0.02 seconds

  Scenario: Publishing the same token rate again doesn't refill the bucket
    Given a router token rate of 100 a second over 1 entries
    When 300 tokens of the router's team are generated
    And the router token rate of 100 a second is published again
    Then the router's team must wait 1.01 seconds

  Scenario: A team over its token rate is refused and told when to retry
    Given a router whose team may have 10 tokens a second
    When the router's team gets 30 tokens on one request
    Then the router refuses its next request for about 1 second

  Scenario Outline: The queue and the retry budget keep to the overload limits
    Given a router with a queue of <queue> and a retry fraction of <fraction>
    Then of 10 requests <waiting> wait and <retries> retries are granted

    Examples:
      | queue | fraction | waiting | retries |
      | 0     | 0        | 0       | 0       |
      | 3     | 0.5      | 3       | 5       |
