Feature: Generations that go on at another engine

  # The entry of the backup, which had ended meanwhile, was put back when the
  # generation ended, so the engine counted as loaded for ever.
  Scenario Outline: An engine counts a generation that it took over only while it runs
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And the gateway runs
    When the engine that gets the request will "<fault>"
    And a caller opens a stream on route "<route>"
    Then the caller received events 1 to 20 once, in order and complete
    And the generation was served by 2 engines
    And no engine is counted as loaded

    Examples:
      | route  | fault       |
      | stream | silent at 9 |
      | stream | long pause at 9 |
      | resume | silent at 9 |

  # A migration was left to the backup because of the engine's report, and not
  # tried any more once the backup had been refused.
  Scenario: A generation is migrated if the backup that was reported is missing
    Given a site with engines "e1,e2,e3"
    And engines that report backups of other ones only, and copies that are moved
    And engines that produce 300 events
    And the gateway runs
    And the store has been reachable for a while
    When a caller opens a stream on route "stream"
    And after 1.5 seconds its engine is listed as draining
    Then the caller received events 1 to 300 once, in order and complete
    And the generation was served by 2 engines
    And no generation ran on two engines at once
    And no engine is counted as loaded

  # Takeovers that other engines had accepted counted against the limit of
  # refused ones, so a long generation was kept at a silent engine.
  Scenario: A generation goes on after many takeovers
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And engines whose streams fall silent after every 2 events
    And route "stream" has a timeout of 25000 ms
    And the gateway runs
    When a caller with 25 seconds opens a stream on route "stream"
    Then the caller received events 1 to 20 once, in order and complete
    And the generation was sent 10 times

  # The gateway waited for the events of a run that its own migration had
  # stopped, or started the generation again beside the migrated copy.
  Scenario Outline: A generation goes on from its migrated copy if its stream does not end
    Given a site with engines "e1,e2,e3"
    And engines that offer no backups
    And engines that produce 200 events
    And route "<route>" has a timeout of 8000 ms
    And the gateway runs
    And the store has been reachable for a while
    When the engine that gets the request will "silent at 60"
    And a caller with 8 seconds opens a stream on route "<route>"
    And after 0.3 seconds its engine is listed as draining
    Then the caller received events 1 to 200 once, in order and complete
    And the generation continued after a move
    And the generation was sent 2 times
    And no engine continued without the copy

    Examples:
      | route  |
      | stream |
      | resume |

  # The migration from the first engine was kept, so there was none from the
  # second.
  Scenario: A generation that was started again is migrated if its engine leaves
    Given a site with engines "e1,e2,e3"
    And engines that offer no backups
    And engines that produce 400 events
    And route "resume" has a timeout of 8000 ms
    And the gateway runs
    And the store has been reachable for a while
    When the engine that gets the request will "silent at 60"
    And a caller with 8 seconds opens a stream on route "resume"
    And its engine turns away calls that stop a run
    And after 0.3 seconds its engine is listed as draining
    And after 1.8 seconds the next engine is listed as draining
    Then the caller received events 1 to 400 once, in order and complete
    And the generation was served by 3 engines

  # The gateway closed its connection at half of the caller's time and found
  # only then that no retry was left.
  Scenario Outline: A slow target is not given up before the request can go to another
    Given a site with plain targets "a,b"
    And targets that take 2.4 seconds
    And the gateway runs
    When <state>
    And a caller sends a request to route "safe"
    Then the caller gets status 200 and "its answer"
    And the request was executed 1 times

    Examples:
      | state                                       |
      | the retries of service "plain" are used up  |
      | all targets ask for silence after a second  |

  # A copy that was refused was asked for five more times, whatever the budget
  # of retries had left.
  Scenario Outline: A copy that is refused is asked for again within the budget of retries
    Given a site with engines "e1,e2,e3"
    And engines that keep no backups
    And the gateway runs
    When <state>
    And the engine that gets the request will "reset at 9"
    And a caller opens a stream on route "stream"
    Then the caller received events 1 to 8 without an end
    And the copy was asked for <count> times

    Examples:
      | state                                       | count |
      | the retries of service "engine" are used up | 1     |
      | service "engine" has had 10 requests        | 3     |
      | service "engine" has had 100 requests       | 6     |

  # The gateway closed its connection to a silent engine for a lease, or for an
  # engine that grants none, and then that engine turned the generation away.
  Scenario Outline: A generation is not given up for an engine that turns it away
    Given a site with engines "e1,e2,e3"
    And engines that offer no backups
    And engines that <leases>
    And the gateway runs
    When the engine that gets the request will "pause at 5"
    And a caller opens a stream on route "resume"
    And the other engines <others> from its first event on
    Then the caller received events 1 to 20 once, in order and complete
    And the generation was served by 1 engines

    Examples:
      | leases          | others        |
      | grant leases    | reject it     |
      | grant no leases | reject it     |

  # The origin of a stream was told to other gateways only if one service of
  # its route had several versions.
  Scenario: A stream of a route with services of different versions is taken up at another gateway
    Given a site with plain targets "a"
    And engine "e1" of service "engine" with software "v1"
    And engine "e2" of service "canary" with software "v2"
    And route "resume" uses services "engine" and "canary"
    And 2 gateways run that know each other
    And the gateways have found one another
    When a caller receives 5 events on route "resume" at the first gateway
    And the first gateway has ended
    And it takes the stream up at the second gateway
    Then it received events 6 to 20 from the same engine

  # Versions that are gone are forgotten after some minutes, but a route's
  # time-out may be longer.
  Scenario Outline: A version is not taken for the only one beyond what is remembered
    Given software "v2" was gone at second 50 and one target of "v1" at second 400 of a service with "v1"
    When the sole version of the last <window> seconds is asked for at second 420
    Then the sole version is <answer>

    Examples:
      | window | answer  |
      | 10     | v1      |
      | 299    | v1      |
      | 371    | unknown |
      | 400    | unknown |

  # A takeover whose head takes longer is broken off, and the copy is used up.
  Scenario Outline: A generation goes on if the engine of its backup begins late
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And the gateway runs
    When the engine that gets the request will "silent at 9"
    And a caller opens a stream on route "<route>"
    And the other engines need <seconds> seconds until the head of a reply
    Then the caller received events 1 to 20 once, in order and complete
    And the generation was served by 2 engines

    Examples:
      | route  | seconds |
      | stream | 0.2     |
      | stream | 0.6     |
      | resume | 0.6     |

  # The engine that runs the generation is given up for one that accepts it
  # late only while nothing shows that it works on it.
  Scenario Outline: A generation stays at an engine that works on it
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And the gateway runs
    When the engine that gets the request will "<pause> at 9"
    And a caller opens a stream on route "stream"
    And its engine <reports>
    And the other engines need <seconds> seconds until the head of a reply
    Then the caller received events 1 to 20 once, in order and complete
    And event 20 came from <writer>

    Examples:
      | pause      | reports                         | seconds | writer         |
      | pause      | answers calls for its report    | 0.1     | the same one   |
      | pause      | answers calls for its report    | 0.6     | the same one   |
      | pause      | answers no calls for its report | 0.4     | another engine |
      | pause      | answers no calls for its report | 3.0     | the same one   |
      | long pause | answers calls for its report    | 0.1     | another engine |
      | long pause | answers calls for its report    | 0.6     | another engine |

  # The engine that ran the generation was given up at the head of the reply of
  # the engine of its backup, which then sent no event.
  Scenario Outline: A generation is not given up before the first event of another engine
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And the gateway runs
    When the engine that gets the request will "pause at 9" and then "<second>"
    And a caller opens a stream on route "<route>"
    And its engine answers <reports> for its report
    Then the caller received events 1 to 20 once, in order and complete
    And event 20 came from the same one

    Examples:
      | route  | second        | reports  |
      | stream | reset at 9    | calls    |
      | stream | reset at 9    | no calls |
      | stream | half at 9     | calls    |
      | stream | skip at 9     | calls    |
      | stream | silent at 9   | calls    |
      | stream | silent at 9   | no calls |
      | stream | comments at 9 | calls    |
      | resume | reset at 9    | calls    |
      | resume | silent at 9   | no calls |

  # Guards against waiting for two silent engines where the generation may
  # start again.
  Scenario: A generation starts again if neither engine goes on
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And route "resume" allows 3 attempts
    And the gateway runs
    When the engine that gets the request will "silent at 9" and then "silent at 9"
    And a caller opens a stream on route "resume"
    Then the caller received events 1 to 20 once, in order and complete

  # Idle connections to an earlier start were used for the later one, so the
  # stream was bound to a software version that did not write it.
  Scenario: An earlier start of an engine gets no streams of its later start
    Given a site with engines "e1"
    And the gateway runs
    When a caller opens a stream on route "resume"
    Then the caller received events 1 to 20 once, in order and complete
    When engine "e1" is listed with a later start, other software and address
    And a caller opens a stream on route "resume"
    Then the caller received events 1 to 20 once, in order and complete
    And the earlier start of "e1" executed 1 requests

  # The engine that had just been given up seemed to be the emptiest.
  Scenario: The backup of a generation is not kept at an engine that it has left
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And engines that need 0.15 seconds for an event
    And route "stream" has a timeout of 12000 ms
    And the gateway runs
    When the engine that gets the request will "silent at 16"
    And a caller with 12 seconds opens a stream on route "stream"
    And the other engines are fuller from its first event on
    Then the caller received events 1 to 20 once, in order and complete
    And the generation was served by 2 engines
    And no backup was kept at an engine that it had left

  # The run was stopped for a move, and then its destination asked to be sent
  # nothing for a while: the stream was cut.
  Scenario Outline: A generation is not lost to the silence of its destination
    Given a site with engines "e1,e2"
    And engines that offer no backups
    And engines that produce 150 events
    And engines whose answer to the call that stops a run is answered late
    And route "stream" has a timeout of 8000 ms
    And the gateway runs
    And the store has been reachable for a while
    When a caller with 8 seconds opens a stream on route "stream"
    And the destination asks for silence for <seconds> seconds when its run is <state>
    And after 0.3 seconds its engine is listed as draining
    Then the caller received events 1 to 150 once, in order and complete

    Examples:
      | state       | seconds |
      | stopped     | 2.0     |
      | to be moved | 1.5     |

  # The run was stopped for a move, and then its destination could not or might
  # not go on: the stream was cut, although the source still had the copy.
  Scenario Outline: A generation goes on at its source if its destination <state>
    Given a site with engines "e1"
    And engine "e2" in another data centre of the region
    And engines that offer no backups
    And engines that produce 150 events
    And engines whose answer to the call that stops a run is answered late
    And route "<route>" has a timeout of 8000 ms
    And the gateway runs
    And the store has been reachable for a while
    When a caller with 8 seconds opens a stream on route "<route>"
    And the destination <state> when its run has been stopped
    And after 0.3 seconds its engine is listed as draining
    Then the caller received events 1 to 150 once, in order and complete
    And no engine continued without the copy

    Examples:
      | route  | state                   |
      | stream | is evacuated            |
      | stream | ends                    |
      | stream | turns all requests away |
      | resume | ends                    |

  # The operator's instruction goes first, see regions-and-evacuations.md.
  Scenario: A stopped generation does not go on in a region that is forbidden by then
    Given a site with engines "e1"
    And engine "e2" in another data centre of the region
    And engines that offer no backups
    And engines that produce 150 events
    And engines whose answer to the call that stops a run is answered late
    And route "stream" has a timeout of 8000 ms
    And the gateway runs
    And the store has been reachable for a while
    When a caller with 8 seconds opens a stream on route "stream"
    And the destination is in a forbidden region when its run has been stopped
    And after 0.3 seconds its engine is listed as draining
    Then the caller received a part of events 1 to 150 without an end
    And the generation was sent 1 times
