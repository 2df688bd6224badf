Feature: Capacity of engines is reserved before a generation is sent

  Scenario Outline: Leases keep many instances from overfilling a few engines
    When <instances> instances place generations on <engines> engines for 30 seconds <how>
    Then <part> of them are sent to a full engine
    And at most 0.02 of them find no engine at the first try

    Examples: the load of the larger deployment of Los Santos
      | instances | engines | how                 | part             |
      | 89        | 24      | by polled reports   | some            |
      | 89        | 24      | with leases         | none             |

  Scenario: Prefill leases shorten the queue on engines that have just started
    When 89 instances place generations for 30 seconds while 4 of 22 engines are replaced repeatedly
    Then with prefill leases the first events arrive earlier
      | part | at most this share of the delay without leases|
      | 0.5  | 1.0                                           |
      | 0.9  | 0.8                                           |
      | 0.99 | 0.7                                           |

  Scenario: The concurrent prefills of an engine are limited
    Given a site with engines "e1"
    And engine "e1" needs 0.3 seconds for a prefill
    And route "stream" has a latency objective of 10 seconds
    And the gateway runs
    When 4 callers open streams on route "stream" at once
    Then every caller got status 200
    And engine "e1" ran at most 2 prefills at once
    And engine "e1" has no leases left

  Scenario: A generation goes to the engine that granted a lease
    Given a site with engines "e1,e2,e3"
    And engines "e1,e2" refuse leases
    And the gateway runs
    When a caller opens a stream on route "stream"
    Then the caller received events 1 to 20 once, in order and complete
    And engine "e3" executed it with its own lease

  Scenario: A request is refused as not executed if no engine has capacity
    Given a site with engines "e1,e2"
    And engines "e1,e2" refuse leases
    And the gateway runs
    When a caller sends a request to route "stream"
    Then the caller gets status 503 and "no answer"
    And the caller gets a Retry-After header
    And the request was executed 0 times

  Scenario: A waiting request uses capacity that becomes free
    Given a site with engines "e1,e2"
    And engines "e1,e2" refuse leases
    And the gateway runs
    When a caller opens a stream on route "stream"
    And after 0.2 seconds engine "e2" grants leases again
    Then the caller received events 1 to 20 once, in order and complete
    And engine "e2" executed it with its own lease

  Scenario: A request is not sent if its caller disconnects while a lease is requested
    Given a site with engines "e1,e2"
    And engines "e1,e2" take 0.2 seconds to grant a lease
    And the gateway runs
    When a caller opens a stream on route "stream"
    And it disconnects while a lease is requested
    Then no engine executes it within a second

  Scenario: A request is not sent if its deadline passes while a lease is requested
    Given a site with engines "e1,e2"
    And engines "e1,e2" take 0.4 seconds to grant a lease
    And the gateway runs
    When a caller with 0.2 seconds left sends a request to route "stream"
    Then the caller gets status 503 and "no answer"
    And no engine executes it within a second

  Scenario: A lease is released at an address that now belongs to a plain target
    Given a site with plain targets "a"
    And the gateway runs
    When a lease is released at target "a"
    Then target "a" has answered the release
