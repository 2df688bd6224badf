Feature: The end of an engine's stream is told from the end of its generation

  Scenario Outline: A stream that its own migration has stopped is not complete
    Given a site with engines "e1,e2,e3"
    And engines that <frames> their streams and offer no backups
    And engines that produce 200 events
    And engines whose answer to the call that stops a run <response>
    And route "stream" has a timeout of 8000 ms
    And the gateway runs
    And the store has been reachable for a while
    When a caller opens a stream on route "stream" with a deadline of 8000 ms
    And after 0.3 seconds its engine is listed as draining
    Then the caller received events 1 to 200 once, in order and complete

    Examples:
      | frames       | response                     |
      | do not frame | is sent at once              |
      | do not frame | is answered late             |
      | do not frame | keeps the copy at the source |
      | frame        | is answered late             |

  Scenario: A stream that may have been stopped does not end as complete
    Given a site with engines "e1,e2,e3"
    And engines that do not frame their streams and offer no backups
    And engines that produce 200 events
    And engines whose answer to the call that stops a run is not answered
    And the gateway runs
    And the store has been reachable for a while
    When a caller opens a stream on route "stream"
    And after 0.3 seconds its engine is listed as draining
    Then the caller received a part of events 1 to 200 without an end

  Scenario Outline: A stream that ends by itself while its generation is moved is complete
    Given a site with engines "e1,e2,e3"
    And engines that do not frame their streams and offer no backups
    And engines that produce <events> events
    And the gateway runs
    And the store has been reachable for a while
    When a caller opens a stream on route "stream"
    And after 0.3 seconds its engine is listed as draining
    Then the caller received events 1 to <events> once, in order and complete

    Examples: before and about when the run is stopped
      | events |
      | 60     |
      | 120    |
      | 130    |

  # The migration went on with other destinations while the end of the stream
  # waited for it; the exit of the process then cut the whole stream off.
  Scenario: A stream whose run has ended does not wait for other destinations
    Given a site with engines "e1,e2,e3"
    And engines that do not frame their streams and offer no backups
    And engines that produce 160 events
    And engines whose answer to the call that stops a run finds that it ended
    And the gateway runs
    And the store has been reachable for a while
    When a caller opens a stream on route "stream"
    And after 0.3 seconds its engine is listed as draining
    Then the caller received events 1 to 160 once, in order and complete
    And the engine was not asked again after it had said that the run has ended

  Scenario Outline: A stream whose engine ended between two events is not complete
    Given a site with engines "e1,e2,e3"
    And engines that do not frame their streams and offer no backups
    And the gateway runs
    When the engine that gets the request will "exit at <event>"
    And a caller opens a stream on route "<route>"
    Then the caller received <received>

    Examples:
      | route  | event | received                                   |
      | stream | 9     | events 1 to 8 without an end               |
      | stream | 1     | no event                                   |
      | resume | 9     | events 1 to 20 once, in order and complete |
      | resume | 1     | events 1 to 20 once, in order and complete |

  Scenario Outline: What was seen of a stream decides whether it is complete
    When a stream <frame> ends <where> while its run <run> and its engine <engine>
    Then the end of the stream is judged as "<judgement>"

    Examples: ends that the protocol marks
      | frame         | where              | run               | engine  | judgement |
      | with chunks   | after an event     | was not stopped   | listens | complete  |
      | with chunks   | after an event     | was stopped       | listens | complete  |
      | with chunks   | before any event   | was not stopped   | listens | complete  |
      | with chunks   | within an event    | was not stopped   | listens | broken    |

    Examples: ends with the connection
      | frame         | where              | run               | engine  | judgement |
      | without them  | after an event     | was not stopped   | listens | complete  |
      | without them  | after an event     | had ended         | listens | complete  |
      | without them  | after an event     | was stopped       | listens | stopped   |
      | without them  | after an event     | may be stopped    | listens | stopped   |
      | without them  | after an event     | was not stopped   | is gone | broken    |
      | without them  | after an event     | had ended         | is gone | complete  |
      | without them  | before any event   | was not stopped   | listens | broken    |
      | without them  | before any event   | was stopped       | listens | stopped   |
      | without them  | within an event    | was not stopped   | listens | broken    |
      | without them  | within an event    | was stopped       | listens | stopped   |

  Scenario Outline: The answer to a migration call tells whether the run goes on
    Given a run that <before>
    When a <call> call is answered with status <status> <handle>
    Then the run <after>

    Examples: the call that stops the run
      | before          | call | status | handle           | after           |
      | was not stopped | last | 200    | and a handle     | was stopped     |
      | was not stopped | last | 503    | and a handle     | was stopped     |
      | was not stopped | last | 503    | without a handle | was not stopped |
      | was not stopped | last | 429    | without a handle | was not stopped |
      | was not stopped | last | 409    | without a handle | was not stopped |
      | was not stopped | last | 404    | without a handle | had ended       |
      | was not stopped | last | 500    | without a handle | may be stopped  |
      | was not stopped | last | 200    | without a handle | may be stopped  |
      | may be stopped  | last | 404    | without a handle | may be stopped  |
      | may be stopped  | last | 409    | without a handle | may be stopped  |
      | may be stopped  | last | 200    | and a handle     | was stopped     |

    Examples: a call that lets it run
      | before          | call | status | handle           | after           |
      | was not stopped | copy | 200    | and a handle     | was not stopped |
      | may be stopped  | copy | 200    | and a handle     | was not stopped |
      | may be stopped  | copy | 503    | without a handle | may be stopped  |
      | was not stopped | copy | 404    | without a handle | had ended       |

  Scenario: A stream is complete although the call to stop its run could not be sent
    Given a site with engines "e1,e2,e3"
    And engines that do not frame their streams and offer no backups
    And engines that produce 200 events
    And the gateway runs
    And the store has been reachable for a while
    When a caller opens a stream on route "stream"
    And the engine of the stream turns stop calls away and drains after 0.3 seconds
    Then the caller received events 1 to 200 once, in order and complete
