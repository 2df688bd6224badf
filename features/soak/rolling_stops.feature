Feature: No request is lost while gateways are stopped in turn

  # A stopping process may cut a request that it accepted on an expectation,
  # holds unanswered, has half read or has answered and not flushed. Callers
  # keep their connections until the process is gone; engines are slow, full,
  # leave and pause; peers, settings and configurations change meanwhile.

  Scenario: No request is lost while gateways are stopped in turn
    When gateways are stopped in turn under light load, seed 1
    Then no request was lost

  Scenario Outline: Stops in turn show a planted fault: <fault>
    When a gateway with the planted fault "<fault>" is stopped with a grace of <grace> s
    Then a request was lost

    Examples: a fault for each way to end
      | fault                                  | grace |
      | everything is accepted late            | 8     |
      | no final responses                     | 2     |
      | the grace is counted late              | 8     |
      | half-read requests are dropped         | 8     |
      | connections are reset after a response | 8     |
      | nothing is waited for                  | 4     |

  # A delay of the soak in the only stop excused all that it cut.
  Scenario: Stops in turn show a planted fault also if the soak is delayed
    When a gateway with the planted fault "half-read requests are dropped" is stopped with a grace of 8 s and the soak is delayed at second 6
    Then a request was lost
