Feature: A process that stops leaves no request without a final response

  Scenario Outline: Requests to a process that stops are served, refused or answered at its end
    Given a site with plain targets "a"
    And an engine "e1" beside them
    And targets that work for <work> seconds on a request
    And a gateway whose grace is 6 seconds runs
    And a caller that keeps its connection open
    When the gateway is told to stop
    And <after> seconds later the caller sends a request to route "<route>" that may take <deadline> seconds
    Then the caller gets status <status> before the gateway ends
    And the request was executed <runs> times

    Examples: served, since the deadline fits
      | route  | after | work | deadline | status | runs |
      | once   | 0.5   | 0.5  | 4        | 200    | 1    |
      | safe   | 3.2   | 0.2  | 1        | 200    | 1    |
      | once   | 3.2   | 0.5  | 1        | 200    | 1    |
      | once   | 3.2   | 4.0  | 1        | 504    | 1    |

    Examples: refused at once, since it might be cut off
      | route  | after | work | deadline | status | runs |
      | once   | 3.2   | 4.0  | 4        | 503    | 0    |
      | safe   | 3.2   | 4.0  | 4        | 503    | 0    |
      | stream | 3.2   | 4.0  | 4        | 503    | 0    |
      | resume | 3.2   | 4.0  | 4        | 503    | 0    |
      | stream | 0.5   | 4.0  | 30       | 503    | 0    |

    Examples: answered at the end, since it came early and may be repeated
      | route  | after | work | deadline | status | runs |
      | safe   | 1.6   | 9.0  | 30       | 504    | 1    |
      | resume | 1.6   | 9.0  | 30       | 504    | 1    |

  Scenario: A request that waits for room when the process ends is refused as not run
    Given a site with plain targets "a"
    And an engine "e1" beside them
    And the engines have no room
    And a gateway whose grace is 6 seconds runs
    And a caller that keeps its connection open
    When the gateway is told to stop
    And 1.0 seconds later the caller sends a request to route "resume" that may take 30 seconds
    Then the caller gets status 503 before the gateway ends
    And the request was executed 0 times

  Scenario: A request that comes while the process closes is refused
    Given a site with plain targets "a"
    And an engine "e1" beside them
    And engines that produce 900 events
    And a gateway whose grace is 6 seconds runs
    And a caller opens a stream on route "stream"
    When the gateway is told to stop and closes
    And a caller opens a connection and keeps it
    And 0.0 seconds later the caller sends a request to route "once" that may take 0.5 seconds
    Then the caller gets status 503
    And the request was executed 0 times

  # Other tasks run between the decision to end a request and its end.
  Scenario: A response that begins as its request is to be ended is written whole
    Given a site with plain targets "a"
    And targets that work for 0.5 seconds on a request
    And a gateway whose grace is 6 seconds runs
    And a caller that keeps its connection open
    When 0.0 seconds later the caller sends a request to route "once" that may take 5 seconds
    And its response begins right after the decision to end the request
    Then the caller gets status 200

  Scenario: A reload during the shutdown does not move its end
    Given a site with plain targets "a"
    And targets that work for 9.0 seconds on a request
    And a gateway whose grace is 6 seconds runs
    And a caller that keeps its connection open
    When the gateway is told to stop
    And its settings then name a grace of 60 seconds
    And 3.2 seconds later the caller sends a request to route "safe" that may take 30 seconds
    Then the caller gets status 503 before the gateway ends

  Scenario: A shorter grace in the settings file that is not reloaded yet holds
    Given a site with plain targets "a"
    And targets that work for 9.0 seconds on a request
    And a gateway whose grace is 6 seconds runs
    And a caller that keeps its connection open
    When its settings file then names a grace of 4 seconds
    And the gateway is told to stop
    And 0.2 seconds later the caller sends a request to route "safe" that may take 30 seconds
    Then the caller gets status 504 before the gateway ends
    And no more than 4 seconds have passed since it was told to stop

  # A generation that is between two engines when the process exits is cut while
  # no engine works on it.
  Scenario Outline: A generation is not taken from its engine shortly before the process exits
    Given a site with engines "e1,e2"
    And engines that produce <events> events
    And a gateway whose grace is 6 seconds runs
    And the store has been reachable for a while
    When the engine that gets the request will "<fault>"
    And a caller opens a stream on route "stream" with a deadline of 8000 ms
    And an engine runs the stream
    And the gateway is told to stop
    And 2.2 seconds pass, after which its engine <leaves>
    Then the caller received events 1 to <events> once, in order and complete
    And the generation stayed at its engine

    Examples: it leaves, or pauses for 1.5 s
      | events | fault        | leaves                  |
      | 340    |              | is listed as draining   |
      | 210    | pause at 170 | goes on                 |
