Feature: Retry budget and back-off
  Scenario: A router's retry budget allows a tenth of the first tries
    Given a router retry budget that is used up
    When the router retry budget sees 30 first tries
    Then the router retry budget allows 3 retries

  Scenario Outline: A router's back-off grows up to a bound, with full jitter
    Then the router back-off for retry <attempt> is below <most> seconds

    Examples:
      | attempt | most |
      | 0       | 0.05 |
      | 3       | 0.4  |
      | 50      | 5.0  |
