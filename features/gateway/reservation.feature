Feature: Room at engines is reserved before a generation is sent

  Scenario Outline: Many instances place on few engines by late reports
    When <instances> instances place generations on <engines> engines for 30 seconds <how>
    Then <part> of them are sent to an engine without room
    And at most 0.02 of them find no place at once

    Examples: the load of the larger deployment of Los Santos
      | instances | engines | how                 | part             |
      | 89        | 24      | by polled reports   | some            |
      | 89        | 24      | with leases         | none             |

  Scenario: Engines that have just started get the prompts of all that wait
    When 89 instances place generations for 30 seconds while 4 of 22 engines are replaced again and again
    Then with turns to read prompts first events come earlier
      | part | at most this share of the delay without turns |
      | 0.5  | 1.0                                           |
      | 0.9  | 0.8                                           |
      | 0.99 | 0.7                                           |

  Scenario: Prompts are read in turns
    Given a site with engines "e1"
    And engine "e1" takes 0.3 seconds to read a prompt
    And route "stream" may take 10 seconds to its first event
    And the gateway runs
    When 4 callers stream on route "stream" at once
    Then every caller got status 200
    And engine "e1" read at most 2 prompts at once
    And engine "e1" keeps nothing reserved

  Scenario: A generation goes where a lease was given
    Given a site with engines "e1,e2,e3"
    And engines "e1,e2" refuse leases
    And the gateway runs
    When a caller streams on route "stream"
    Then the caller has events 1 to 20 once and in order, and the end
    And engine "e3" ran it with its own lease

  Scenario: Without any room a request is refused as not run, when to come back
    Given a site with engines "e1,e2"
    And engines "e1,e2" refuse leases
    And the gateway runs
    When a caller asks on route "stream"
    Then the caller gets status 503 and "no answer"
    And the caller is told when to come back
    And the request ran 0 times

  Scenario: Room that comes free is used by a request that waits
    Given a site with engines "e1,e2"
    And engines "e1,e2" refuse leases
    And the gateway runs
    When a caller streams on route "stream"
    And after 0.2 seconds engine "e2" gives leases again
    Then the caller has events 1 to 20 once and in order, and the end
    And engine "e2" ran it with its own lease

  Scenario: A caller that leaves while a lease is asked for
    Given a site with engines "e1,e2"
    And engines "e1,e2" take 0.2 seconds to give a lease
    And the gateway runs
    When a caller streams on route "stream"
    And it leaves while an engine is asked for a lease
    Then no engine runs it in the second after

  Scenario: A request whose time ends while a lease is asked for
    Given a site with engines "e1,e2"
    And engines "e1,e2" take 0.4 seconds to give a lease
    And the gateway runs
    When a caller with 0.2 seconds left asks on route "stream"
    Then the caller gets status 503 and "no answer"
    And no engine runs it in the second after

  Scenario: A lease is freed at an address that a plain target has now
    Given a site with plain targets "a"
    And the gateway runs
    When a lease is freed at target "a"
    Then target "a" has answered that call
