Feature: Requests with buffered replies through the gateway

  Scenario Outline: Each fault of a target leads to a defined response
    Given a site with plain targets "a"
    And the gateway runs
    When target "a" will answer with "<fault>"
    And a caller sends a request to route "<route>"
    Then the caller gets status <status> and "<body>"
    And the request was executed <runs> times

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

  Scenario: A connection with bytes after a complete reply is not reused
    Given a site with plain targets "a"
    And the gateway runs
    When target "a" will answer with "extra"
    And a caller sends a request to route "once"
    And a caller sends a request to route "once"
    Then the caller gets status 200 and "its answer"
    And target "a" accepted 2 connections

  Scenario: A request that all targets rejected is refused as not executed
    Given a site with plain targets "a"
    And the gateway runs
    When target "a" will shed the next 9 requests
    And a caller sends a request to route "once"
    Then the caller gets status 503 and "no answer"
    And the caller gets a Retry-After header
    And the request was executed 0 times

  Scenario: A request gets a response when its timeout has passed
    Given a site with plain targets "a"
    And route "once" has a timeout of 300 ms
    And the gateway runs
    When target "a" will answer with "silent"
    And a caller sends a request to route "once"
    Then the caller gets status 504 and "no answer"
    And target "a" saw the request's connection close

  Scenario: The request to the target is cancelled when the caller disconnects
    Given a site with plain targets "a"
    And the gateway runs
    When target "a" will answer with "silent"
    And a caller sends a request to route "once" and disconnects
    Then target "a" saw the request's connection close

  Scenario: Headers that only the gateway may set are replaced
    Given a site with plain targets "a"
    And the gateway runs
    When a caller sends a request to route "once" with these headers
      | name                          | value     |
      | Kingcupfront-Tenant           | south     |
      | Kingcupfront-Expect-Instance  | i-forged  |
      | Kingcupfront-Retention        | 7         |
      | Kingcupfront-Pin-Ms           | 1000      |
      | Kingcupfront-Kv-Backup        | 1.2.3.4:5 |
      | Kv-From                       | 1.2.3.4:5/x |
      | Last-Event-Id                 | three     |
      | X-Own                         | kept      |
    Then the caller gets status 200 and "its answer"
    And target "a" received these headers
      | name                          | value     |
      | kingcupfront-tenant           | north     |
      | kingcupfront-expect-instance  | a         |
      | kingcupfront-retention        |           |
      | kingcupfront-pin-ms           |           |
      | kingcupfront-kv-backup        |           |
      | kv-from                       |           |
      | authorization                 |           |
      | x-own                         | kept      |

  Scenario: A target whose address now belongs to another gets no requests
    Given a site with plain targets "a,b"
    And the gateway runs
    When another target takes over the address of "a"
    And a caller sends a request to route "once" 6 times
    Then every caller got status 200
    And target "a" executed 0 requests

  Scenario Outline: Malformed requests are refused
    Given a site with plain targets "a"
    And the gateway runs
    When a caller writes <bytes>
    Then the caller gets status <status> and "no answer"
    And the request was executed 0 times

    Examples:
      | bytes                               | status |
      | no http                             | 400    |
      | two lengths                         | 400    |
      | a length and another coding         | 501    |
      | a header of 9000 bytes              | 431    |
      | a body over the limit               | 413    |
      | no attempt id                       | 400    |
      | half a header                       | 408    |

  Scenario Outline: An executed request is not reported as "not executed" if its retry is refused
    Given a site with plain targets "a"
    And revoked keys must stop working within 1.5 seconds
    And the gateway runs
    When the store is "silent" for 0 seconds
    And target "a" will answer with "<fault>"
    And a caller sends a request to route "safe"
    Then the caller gets status <status> and "<body>"
    And the request was executed 1 times

    Examples:
      | fault        | status | body        |
      | silent       | 504    | no answer   |
      | late failure | 500    | its failure |
