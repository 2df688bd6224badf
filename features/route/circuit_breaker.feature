Feature: Circuit breaker of a target
  Scenario Outline: Consecutive or frequent failures open a router's circuit
    Given a router's circuit breaker
    When the router's circuit breaker records "<results>"
    Then the router's circuit breaker is <state>

    Examples:
      | results               | state  |
      | ok fail ok fail       | closed |
      | fail fail fail fail   | closed |
      | fail fail fail fail fail | open |
      | ok fail ok fail ok fail ok fail ok fail ok fail ok fail ok fail | open |

  Scenario: A half-open circuit passes one probe and closes on its success
    Given a router's circuit breaker
    When the router's circuit breaker records "fail fail fail fail fail"
    And 2 seconds of the router's circuit breaker pass
    Then the router's circuit breaker is half_open
    When the router's circuit breaker lets a probe through
    Then the router's circuit breaker is open
    When the router's circuit breaker records "ok"
    Then the router's circuit breaker is closed

  Scenario: A circuit stays open longer after each failed probe
    Given a router's circuit breaker
    When the router's circuit breaker records "fail fail fail fail fail"
    And 2 seconds of the router's circuit breaker pass
    And the router's circuit breaker records "fail"
    Then the router's circuit breaker stays open between 2 and 4 seconds
