Feature: Connections of callers

  Scenario: A response that a time-out cut short is followed by no other
    Given a site with plain targets "a"
    And target "a" answers with 8 MB
    And route "once" has a timeout of 800 ms
    And the gateway runs
    When a caller sends two requests to route "once" ahead and reads 2 MB per second
    Then the connection closes within the first response
