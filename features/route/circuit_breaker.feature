Feature: Circuit of a target
  Scenario Outline: A router's circuit opens when a target fails
    Given a router circuit
    When the router circuit sees "<results>"
    Then the router circuit is <state>

    Examples:
      | results               | state  |
      | ok fail ok fail       | closed |
      | fail fail fail fail   | closed |
      | fail fail fail fail fail | open |
      | ok fail ok fail ok fail ok fail ok fail ok fail ok fail ok fail | open |

  Scenario: A router's circuit passes one probe and closes on its success
    Given a router circuit
    When the router circuit sees "fail fail fail fail fail"
    And the router circuit waits 2 seconds
    Then the router circuit is half_open
    When the router circuit passes a probe
    Then the router circuit is open
    When the router circuit sees "ok"
    Then the router circuit is closed

  Scenario: A router's circuit stays open longer after each failed probe
    Given a router circuit
    When the router circuit sees "fail fail fail fail fail"
    And the router circuit waits 2 seconds
    And the router circuit sees "fail"
    Then the router circuit stays open between 2 and 4 seconds
