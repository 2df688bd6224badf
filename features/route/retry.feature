Feature: Retry budget and back-off
  Scenario: A retry budget grows by a tenth of a retry per first attempt
    Given a router's retry budget that is used up
    When the router's retry budget counts 30 first attempts
    Then the router's retry budget grants 3 retries

  Scenario Outline: The back-off grows to a maximum, with full jitter
    Then the router's back-off for retry <attempt> is below <most> seconds

    Examples:
      | attempt | most |
      | 0       | 0.05 |
      | 3       | 0.4  |
      | 50      | 5.0  |
