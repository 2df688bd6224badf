Feature: Whole answers through the gateway

  Scenario Outline: What a target does to a request, and what its caller gets
    Given a site with plain targets "a"
    And the gateway runs
    When target "a" will answer with "<fault>"
    And a caller asks on route "<route>"
    Then the caller gets status <status> and "<body>"
    And the request ran <runs> times

    Examples:
      | route | fault       | status | body       | runs |
      | once  |             | 200    | its answer | 1    |
      | once  | failure     | 500    | its failure | 1   |
      | once  | unsigned    | 502    | no answer  | 1    |
      | once  | of another  | 502    | no answer  | 1    |
      | once  | no http     | 502    | no answer  | 1    |
      | once  | cut         | 502    | no answer  | 1    |
      | once  | reset       | 502    | no answer  | 1    |
      | once  | stray first | 200    | its answer | 1    |
      | once  | unframed    | 200    | its answer | 1    |
      | once  | extra       | 200    | its answer | 1    |
      | once  | shed        | 200    | its answer | 1    |
      | safe  | cut         | 200    | its answer | 2    |
      | safe  | reset       | 200    | its answer | 2    |
      | safe  | failure     | 200    | its answer | 2    |
      | safe  | of another  | 200    | its answer | 2    |
      | safe  | silent      | 200    | its answer | 2    |

  Scenario: Bytes after a whole answer belong to no request
    Given a site with plain targets "a"
    And the gateway runs
    When target "a" will answer with "extra"
    And a caller asks on route "once"
    And a caller asks on route "once"
    Then the caller gets status 200 and "its answer"
    And target "a" was connected to 2 times

  Scenario: A request that no target ran is refused as not run
    Given a site with plain targets "a"
    And the gateway runs
    When target "a" will shed the next 9 requests
    And a caller asks on route "once"
    Then the caller gets status 503 and "no answer"
    And the caller is told when to come back
    And the request ran 0 times

  Scenario: A request that has not ended in time is answered then
    Given a site with plain targets "a"
    And route "once" has a timeout of 300 ms
    And the gateway runs
    When target "a" will answer with "silent"
    And a caller asks on route "once"
    Then the caller gets status 504 and "no answer"
    And target "a" saw the request's connection close

  Scenario: The work for a caller that leaves is dropped
    Given a site with plain targets "a"
    And the gateway runs
    When target "a" will answer with "silent"
    And a caller asks on route "once" and leaves
    Then target "a" saw the request's connection close

  Scenario: What a caller may not set is set by the gateway
    Given a site with plain targets "a"
    And the gateway runs
    When a caller asks on route "once" with these headers
      | name                          | value     |
      | Kingcupfront-Tenant           | south     |
      | Kingcupfront-Expect-Instance  | i-forged  |
      | Kingcupfront-Retention        | 7         |
      | Kingcupfront-Pin-Ms           | 1000      |
      | Kingcupfront-Kv-Backup        | 1.2.3.4:5 |
      | Kv-From                       | 1.2.3.4:5/x |
      | X-Own                         | kept      |
    Then the caller gets status 200 and "its answer"
    And target "a" saw these headers
      | name                          | value     |
      | kingcupfront-tenant           | north     |
      | kingcupfront-expect-instance  | a         |
      | kingcupfront-retention        |           |
      | kingcupfront-pin-ms           |           |
      | kingcupfront-kv-backup        |           |
      | kv-from                       |           |
      | authorization                 |           |
      | x-own                         | kept      |

  Scenario: A target whose address is used again gets no request
    Given a site with plain targets "a,b"
    And the gateway runs
    When target "a" becomes another instance at its address
    And a caller asks on route "once" 6 times
    Then every caller got status 200
    And target "a" ran 0 requests

  Scenario Outline: Requests that are not proper
    Given a site with plain targets "a"
    And the gateway runs
    When a caller writes <bytes>
    Then the caller gets status <status> and "no answer"
    And the request ran 0 times

    Examples:
      | bytes                               | status |
      | no http                             | 400    |
      | two lengths                         | 400    |
      | a length and another coding         | 501    |
      | a header of 9000 bytes              | 431    |
      | a body over the limit               | 413    |
      | no attempt id                       | 400    |
      | half a header                       | 408    |

  Scenario Outline: What has run is not called "not run" when a repeat is refused
    Given a site with plain targets "a"
    And keys must not work 1.5 seconds after they were taken away
    And the gateway runs
    When the store is "silent" for 0 seconds
    And target "a" will answer with "<fault>"
    And a caller asks on route "safe"
    Then the caller gets status <status> and "<body>"
    And the request ran 1 times

    Examples:
      | fault        | status | body        |
      | silent       | 502    | no answer   |
      | late failure | 500    | its failure |
