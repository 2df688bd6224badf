Feature: Targets that send bytes which are no valid response

  Scenario Outline: A response without end is cut off, and other callers are served meanwhile
    Given a site with plain targets "a"
    And a plain target "b" that sends <bytes> until its connection closes
    And route "once" has a timeout of 2500 ms
    And the gateway runs
    When a caller sends a request to target "b" on route "once"
    Then the gateway answered its health check within a second meanwhile
    And the caller gets status <status> and "no answer"
    And target "b" saw its connection close

    Examples:
      | bytes                        | status |
      | informational heads          | 502    |
      | informational heads slowly   | 504    |
      | header lines                 | 502    |
      | one header line              | 502    |
      | a chunk                      | 502    |
      | small chunks                 | 502    |
      | a chunk extension            | 502    |
      | trailers                     | 502    |
      | a body                       | 502    |
      | replies to other requests    | 502    |
      | one byte of a head at a time | 504    |

  Scenario Outline: A JSON call to a server that sends without end fails within its time limit
    Given a server that sends <bytes> until its connection closes
    When a JSON call is made to it with a timeout of 0.5 seconds
    Then the JSON call fails within 5.0 seconds with <code>

    Examples:
      | bytes                        | code          |
      | informational heads          | broken_reply  |
      | informational heads slowly   | silent_target |
      | a body                       | broken_reply  |
      | deeply nested JSON           | broken_reply  |
      | one byte of a head at a time | silent_target |

  Scenario Outline: A repeated refusal is not taken for the response to a later request
    Given a site with plain targets "a"
    And the gateway runs
    When target "a" will answer with "<first>"
    And target "a" will answer with "<second>"
    And a caller sends a request to route "<route>"
    And a caller sends a request to route "<route>"
    Then the caller gets status 200 and "its answer"
    And the request was executed 1 times

    Examples: without an id, and with the id of the first request
      | route | first | second                        |
      | once  |       | repeated refusal without id   |
      | safe  |       | repeated refusal without id   |
      | once  | shed  | repeated refusal              |

  Scenario Outline: A refusal repeated before the response to the same request sent again
    Given a site with plain targets "a"
    And the gateway runs
    When target "a" will answer with "shed"
    And target "a" will answer with "repeated refusal"
    And a caller sends a request to route "<route>"
    Then the caller gets status 200 and "its answer"
    And the request was executed 1 times

    Examples:
      | route |
      | once  |
      | safe  |

  Scenario: A refusal repeated before the stream of the same generation sent again
    Given a site with engines "e1"
    And the gateway runs
    When the engine that gets the request will "shed" and then "repeat"
    And a caller opens a stream on route "stream"
    Then the caller received events 1 to 20 once, in order and complete
    And the request was executed 1 times

  Scenario: A repeated response to a call never moves the memory of another generation
    Given a site with engines "e1,e2"
    And engines that produce 300 events
    And engines that repeat their earlier responses to calls
    And the gateway runs
    And the store has been reachable for a while
    When callers open 2 streams on route "stream" on engine "e1"
    And engine "e1" is listed as draining while they run
    Then each caller received events 1 to 300 once, in order and complete
    And no engine continued a generation from the memory of another
    And no generation ran on two engines at once

  Scenario Outline: An engine that sends bytes but no events counts as silent
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And the gateway runs
    When the engine that gets the request will "<fault>"
    And a caller opens a stream on route "<route>"
    Then the caller received events 1 to 20 once, in order and complete
    And the generation was served by 2 engines

    Examples:
      | route  | fault         |
      | stream | comments at 9 |
      | stream | drip at 9     |
      | resume | comments at 1 |
      | resume | drip at 1     |
      | stream | flood at 9    |
      | stream | endless at 9  |

  Scenario Outline: A slow engine is not abandoned
    Given a site with engines "e1,e2,e3"
    And engines that <backups>
    And the gateway runs
    When the engine that gets the request will "<first>" and then "<second>"
    And a caller opens a stream on route "<route>"
    Then the caller received events 1 to 20 once, in order and complete
    And the generation was served by <engines> engines

    Examples: there is no copy to continue from, or no execution left
      | route  | backups          | first      | second      | engines |
      | stream | keep no backups  | pause at 5 |             | 1       |
      | stream | offer no backups | pause at 5 |             | 1       |
      | resume | offer no backups | reset at 9 | pause at 15 | 2       |

  # The gateway closed its connection to an engine that paused, and then no
  # other engine went on with the generation.
  Scenario Outline: A generation is not given up before another engine has it
    Given a site with engines "e1,e2,e3"
    And engines that <backups>
    And the gateway runs
    When the engine that gets the request will "<fault>"
    And a caller opens a stream on route "<route>"
    And the other engines <others> from its first event on
    Then the caller received events 1 to 20 once, in order and complete
    And the generation was served by 1 engines

    Examples:
      | route  | backups                           | fault       | others           |
      | stream | report backups of other ones only | pause at 5  | are as before    |
      | stream | report backups of other ones only | pause at 19 | are as before    |
      | stream | report the backups that they keep | pause at 5  | reject it        |
      | stream | report the backups that they keep | pause at 5  | do not answer    |
      | resume | offer no backups                  | pause at 5  | are full         |

  Scenario: A generation stays at an engine that leaves while no other has it
    Given a site with engines "e1,e2,e3"
    And engines that report backups of other ones only
    And engines that produce 300 events
    And engines that cannot move generations
    And the gateway runs
    And the store has been reachable for a while
    When a caller opens a stream on route "stream"
    And after 1.5 seconds its engine is listed as draining
    Then the caller received events 1 to 300 once, in order and complete
    And the generation was served by 1 engines

  Scenario Outline: A response that ends in its head is no response
    Given a site with plain targets "a,b"
    And the gateway runs
    When the target that gets the request will answer with "<fault>"
    And a caller sends a request to route "<route>"
    Then the caller gets status <status> and "<body>"

    Examples:
      | route | fault              | status | body       |
      | once  | half a head        | 502    | no answer  |
      | once  | half a status line | 502    | no answer  |
      | safe  | half a head        | 200    | its answer |
      | safe  | half a status line | 200    | its answer |

  Scenario Outline: A stream that ends in its head is no stream
    Given a site with engines "e1,e2"
    And engines that keep no backups
    And the gateway runs
    When the engine that gets the request will "<fault>"
    And a caller opens a stream on route "<route>"
    Then the caller gets status <status> and "no answer"

    Examples:
      | route  | fault              | status |
      | stream | half a head        | 502    |
      | stream | half a status line | 502    |

  Scenario Outline: What an engine answers instead of the rest of a stream stays out of it
    Given a site with engines "e1,e2,e3"
    And engines that <frames> their streams and offer no backups
    And the gateway runs
    When the engine that gets the request will "<first>" and then "<second>"
    And a caller opens a stream on route "resume"
    Then the caller received events 1 to 8 without an end
    And nothing but its own events

    Examples: the route allows two executions
      | frames     | first      | second             |
      | frame      | reset at 9 | failure            |
      | frame      | half at 9  | failure            |
      | frame      | reset at 9 | unsigned           |
      | frame      | reset at 9 | half a head        |
      | frame      | reset at 9 | half a status line |
      | do not frame | reset at 9 | failure          |
      | do not frame | half at 9  | failure          |
      | do not frame | half at 9  | half a head      |

  Scenario Outline: A stream without length or chunks is whole if it ends between events
    Given a site with engines "e1,e2,e3"
    And engines that do not frame their streams and offer no backups
    And the gateway runs
    When the engine that gets the request will "<fault>"
    And a caller opens a stream on route "<route>"
    Then the caller received events 1 to 20 once, in order and complete
    And nothing but its own events

    Examples:
      | route  | fault      |
      | stream |            |
      | resume | half at 9  |
      | resume | reset at 9 |

  Scenario: A stream without length or chunks that ends within an event was broken off
    Given a site with engines "e1,e2"
    And engines that do not frame their streams and offer no backups
    And the gateway runs
    When the engine that gets the request will "half at 9"
    And a caller opens a stream on route "stream"
    Then the caller received events 1 to 8 without an end
    And nothing but its own events

  Scenario: A deadline of hundreds of digits counts as none
    Given a site with plain targets "a"
    And the gateway runs
    When a caller writes a deadline of 900 digits
    Then the request was executed 1 times

  Scenario Outline: An unexpected field or error of a target costs one request at most
    Given a site with plain targets "a"
    And the gateway runs
    When target "a" will answer with "<fault>"
    And a caller sends a request to route "once"
    Then the caller gets status <status> and "<body>"
    And the request was executed 1 times

    Examples:
      | fault                   | status | body       |
      | keep-alive of 5000 digits | 200  | its answer |

  Scenario: An unexpected error while a request is served gets a final response
    Given a site with plain targets "a"
    And the gateway runs
    When the choice of a target fails with an unexpected error once
    And a caller sends a request to route "once"
    Then the caller gets status 503 and "no answer"
    And the request was executed 0 times
    When a caller sends a request to route "once"
    Then the caller gets status 200 and "its answer"

  Scenario: An unexpected error after a request was executed does not claim that it was not
    Given a site with plain targets "a"
    And the gateway runs
    When the response of a target causes an unexpected error once
    And a caller sends a request to route "once"
    Then the caller gets status 502 and "no answer"
    And the request was executed 1 times

  Scenario Outline: Events are split in time linear in their bytes, and are bounded
    When <count> pieces of <bytes> bytes without the end of an event are split
    Then the splitter <ends> within a second of processor time

    Examples:
      | count  | bytes | ends        |
      | 131072 | 1     | holds them  |
      | 1024   | 65536 | gives up    |

  Scenario Outline: A connection that lacks a part of a request is not used for another
    Given a site with plain targets "a"
    And callers may send long bodies
    And target "a" answers a long request with "<fault>" before its body is read
    And route "<route>" has a timeout of 2000 ms
    And the gateway runs
    When a caller sends a long request to route "<route>"
    Then the caller gets status <status> and "<body>"
    When 3 callers send a request to route "<route>" at once
    Then every caller got status 200
    And no other bytes came where the rest of a long body was due

    Examples:
      | route | fault   | status | body        |
      | safe  | shed    | 200    | its answer  |
      | safe  |         | 200    | its answer  |
      | once  |         | 200    | its answer  |
      | once  | failure | 500    | its failure |

  Scenario: An answer that comes before the request is written is acted on at once
    Given a site with plain targets "a"
    And callers may send long bodies
    And target "a" answers a long request with "shed" before its body is read
    And route "once" has a timeout of 1200 ms
    And the gateway runs
    When a caller sends a long request to route "once"
    Then the caller gets status 200 and "its answer"
    And the request was executed 1 times
