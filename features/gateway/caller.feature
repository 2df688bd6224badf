Feature: Connections of callers

  Scenario: A response that a time-out cut short is followed by no other
    Given a site with plain targets "a"
    And target "a" answers with 8 MB
    And route "once" has a timeout of 800 ms
    And the gateway runs
    When a caller sends two requests to route "once" ahead and reads 2 MB per second
    Then the connection closes within the first response

  Scenario Outline: A body in chunks of one byte holds up no other caller
    Given a site with plain targets "a"
    And callers may send bodies of <bytes> bytes
    And the gateway runs
    When a caller sends a body of <bytes> bytes in chunks of one byte
    Then other tasks wait for at most 0.1 seconds of processor time meanwhile
    And health checks are answered within 1.0 seconds
    And the caller of the body gets status <status>

    Examples:
      | bytes   | status |
      | 200000  | 200    |
      | 4194304 | 408    |

  Scenario Outline: The limits in force when a request begins hold for it
    Given a site with plain targets "a"
    And the gateway runs
    When a caller keeps its connection while the limits change by "<change>"
    And it sends a request with a body of <bytes> bytes and a header of <header>
    Then it gets status <status>

    Examples:
      | change       | bytes  | header | status |
      | body raised  | 150000 | 10     | 200    |
      | body lowered | 50000  | 10     | 413    |
      | head raised  | 10     | 8000   | 200    |
      | head lowered | 10     | 2000   | 431    |

  Scenario: Limits that change while a body is read do not apply to it
    Given a site with plain targets "a"
    And the gateway runs
    When a caller has sent half a body of 50000 bytes and the limit is lowered
    And the caller sends the rest
    Then it gets status 200

  # The kernel counted a caller that pauses as one that is gone.
  Scenario: A caller that pauses for 3 seconds while it reads gets the whole response
    Given a site with plain targets "a"
    And target "a" answers with 1 MB
    And route "once" has a timeout of 20000 ms
    And the gateway runs
    When a caller with a small receive buffer pauses for 3 seconds after the head
    Then it gets the whole response

  # The idle time-out alone cut off long bodies on a link that many share.
  Scenario Outline: A body of <rate> bytes per second is answered with <status>
    Given a site with plain targets "a"
    And an idle time-out of 1000 ms
    And the gateway runs
    When a caller sends a body of 96000 bytes at <rate> bytes per second
    Then it gets status <status>

    Examples:
      | rate   | status |
      | 192000 | 200    |
      | 40000  | 200    |
      | 8000   | 408    |

  # A refusal before the body is read left the body on the connection, where it
  # would have been taken for the next request.
  Scenario: A connection goes on after a request that its head refuses
    Given a site with plain targets "a"
    And the gateway runs
    When a caller sends 50000 bytes to a path without a route and then a request on one connection
    Then the statuses are 404 and 200
    And the request was executed 1 times

  Scenario: A declared length over the limit is refused before the body
    Given a site with plain targets "a"
    And the gateway runs
    When a caller declares a body of 200000 bytes and sends none of it
    Then it gets status 413

  # A drop that nothing counts looks to operators like a fault of the caller.
  Scenario: A body that stops makes room for an ordinary request
    Given a site with plain targets "a"
    And the gateway runs
    And callers may hold 75000 bytes together
    When a caller sends 50000 of 90000 bytes and stops
    And a caller sends a request to route "once"
    Then the caller gets status 200 and "its answer"
    And the caller that stopped gets 503 with a time to retry
    And the state dump counts 1 drop for memory
    And target "a" executed 1 requests

  # The HTTP library refused the response and then the refusal as well, and the
  # connection closed without a word.
  Scenario Outline: A response that the HTTP library refuses is replaced on route "<route>"
    Given a site with plain targets "a"
    And engine "e1" of service "engine" with software "v1"
    And the gateway runs
    When the HTTP library refuses the first response to a request to route "<route>"
    Then the caller gets the bare last response 502

    Examples:
      | route  |
      | once   |
      | stream |

  # An interrupted refusal is none: the caller has a part of it.
  Scenario: A refusal that is being written is not ended when the process exits
    Given a caller whose request is refused before it is read as a whole
    When the process ends requests while the refusal is being written
    Then the refusal is written as a whole
