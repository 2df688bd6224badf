Feature: Generations whose engines are late, refuse late or hang

  # The time-out of a takeover or a restart bounded the write of the body too,
  # which was broken off without an error while the reply was waited for.
  Scenario Outline: A generation with a long body goes on at an engine that reads late
    Given a site with engines "e1,e2"
    And engines that grant no leases
    And engines that report the backups that they keep
    And callers may send long bodies
    And the gateway runs
    When the engine that gets the request will "<fault>"
    And a caller with 4 seconds sends a <size> body on route "<route>"
    And the other engines read long bodies <seconds> seconds late
    And the caller has read its response
    Then events 1 to 20 came once, in order and complete

    Examples:
      | route  | fault       | size  | seconds |
      | resume | pause at 1  | long  | 0.0     |
      | resume | pause at 1  | short | 0.6     |
      | resume | pause at 1  | long  | 0.6     |
      | stream | silent at 9 | long  | 0.0     |
      | stream | silent at 9 | short | 0.6     |
      | stream | silent at 9 | long  | 0.6     |

  # Any failure of the call for the report counted as an engine that does not
  # work on the generation.
  Scenario Outline: A sound engine that answers for its report late is not joined by another
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And route "stream" has a timeout of 12000 ms
    And engines that need 0.03 seconds for an event
    And the gateway runs
    When a caller with 12 seconds sends a short body on route "stream"
    And the engine that runs it is silent for 4.0 seconds
    And it answers calls for its report <how>
    And the other engines note how long they work on it
    And the other engines need 2.0 seconds until the head of a reply
    And the caller has read its response
    Then events 1 to 20 came once, in order and complete
    And no two engines worked on it for over 0.4 seconds

    Examples:
      | how             |
      | at once         |
      | after 0.2 s     |
      | after 0.33 s    |
      | after 0.4 s     |
      | after 0.45 s    |
      | with 503        |
      | after a silence |

  # The engine of the backup was waited for until the deadline, or asked again
  # once the current one had been given up.
  Scenario Outline: A generation is not kept for a backup whose engine hangs
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And route "resume" allows 4 runs
    And route "resume" has a timeout of 12000 ms
    And engines that need 0.03 seconds for an event
    And the gateway runs
    When the engine that gets the request will "<fault> at 9"
    And a caller with <limit> seconds sends a short body on route "resume"
    And after 0.1 seconds the backup is kept
    And the engine of its backup takes 20.0 seconds for a head
    And the caller has read its response
    Then events 1 to 20 came once, in order and complete

    Examples:
      | fault      | limit |
      | silent     | 4     |
      | long pause | 9     |
      | comments   | 9     |
      | drip       | 9     |

  # A generation was given up at its engine before another one had accepted it.
  Scenario Outline: A sound generation is not lost to an engine that refuses it late
    Given a site with engines "e1,e2,e3"
    And engines that offer no backups
    And engines that grant no leases
    And the gateway runs
    When the engine that gets the request will "<fault>"
    And a caller with 4 seconds sends a short body on route "resume"
    And the other engines refuse it after <seconds> seconds
    And the caller has read its response
    Then events 1 to 20 came once, in order and complete

    Examples:
      | fault      | seconds |
      | pause at 1 | 0.1     |
      | pause at 1 | 0.5     |
      | pause at 9 | 0.1     |
      | pause at 9 | 0.5     |
      | pause at 1 | 20.0    |
      | pause at 9 | 20.0    |

  # The engine of the backup was waited for beside a migration that had ended.
  Scenario Outline: A generation goes on from its migrated copy while a backup begins late
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And engines that produce 100 events
    And route "stream" has a timeout of 8000 ms
    And the gateway runs
    And the store has been reachable for a while
    When the engine that gets the request will "silent at 30"
    And a caller with 8 seconds sends a short body on route "stream"
    And after <drain> seconds engine of the run is told to leave
    And the engine of its backup takes 20.0 seconds to take over
    And the caller has read its response
    Then events 1 to 100 came once, in order and complete

    Examples:
      | drain |
      | 0.5   |
      | 0.8   |

  Scenario Outline: A slow target is not given up for targets that <refuse> requests
    Given a site with plain targets "a,b"
    And targets that take 2.4 seconds
    And the gateway runs
    When a caller sends a request that a slow target gets on "safe"
    And the other targets <refuse> requests
    And the caller has read its response
    Then the caller got status 200 with a whole answer

    Examples:
      | refuse       |
      | refuse       |
      | never answer |

  Scenario Outline: A sound engine is not given up before its first event to be asked again
    Given a site with engines "<engines>"
    And engines that grant no leases
    And the gateway runs
    When engines will "pause at 1" and then "<rest>" at all later sends
    And a caller with 4 seconds sends a short body on route "<route>"
    And the caller has read its response
    Then events 1 to 20 came once, in order and complete

    Examples:
      | engines | rest       | route  |
      | e1      | shed       | resume |
      | e1      | pause at 1 | resume |
      | e1,e2   | pause at 1 | resume |
      | e1      | shed       | stream |
      | e1      | pause at 1 | stream |

  Scenario: Engines end their work if a caller leaves while a takeover waits
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And route "stream" has a timeout of 12000 ms
    And engines that need 0.03 seconds for an event
    And the gateway runs
    When a caller with 12 seconds sends a short body on route "stream"
    And the engine that runs it is silent for 8.0 seconds
    And it answers calls for its report not
    And the other engines note how long they work on it
    And the other engines need 6.0 seconds until the head of a reply
    And the caller leaves after 3.0 seconds
    Then no engine worked on it for over 0.4 seconds more

  # An engine whose report names the run and that sends no event may be sound.
  Scenario Outline: A generation goes on late if its engine sends <fault> and no event
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And the gateway runs
    When the engine that gets the request will "<fault> at 9"
    And a caller opens a stream on route "<route>"
    And the other engines need <seconds> seconds until the head of a reply
    Then the caller received events 1 to 20 once, in order and complete

    Examples:
      | fault    | route  | seconds |
      | comments | stream | 0.1     |
      | comments | stream | 0.6     |
      | drip     | stream | 0.6     |
      | comments | resume | 0.6     |

  # A takeover was broken off for a restart that no retry was left for.
  Scenario Outline: A takeover is not broken off without retries
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And route "resume" allows 4 runs
    And route "resume" has a timeout of 12000 ms
    And engines that need 0.03 seconds for an event
    And the gateway runs
    When the engine that gets the request will "<fault> at 9"
    And a caller with 9 seconds sends a short body on route "resume"
    And no retries are left
    And after 0.1 seconds the backup is kept
    And the engine of its backup takes 2.0 seconds for a head
    And the caller has read its response
    Then events 1 to 20 came once, in order and complete

    Examples:
      | fault      |
      | silent     |
      | long pause |
      | comments   |

  # An engine that was silent for 2 s and named the run in its report was given
  # up before the engine of the backup had accepted the generation.
  Scenario Outline: An engine that pauses for 3 s is not lost to one that refuses late
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And route "<route>" has a timeout of 12000 ms
    And the gateway runs
    When the engine that gets the request will "long pause at 9"
    And a caller with 12 seconds sends a short body on route "<route>"
    And the other engines refuse it after <seconds> seconds
    And the caller has read its response
    Then events 1 to 20 came once, in order and complete

    Examples:
      | route  | seconds |
      | stream | 0.1     |
      | resume | 0.1     |
      | stream | 0.5     |
      | resume | 0.5     |

  # An engine that was given up beside a takeover was told to leave while the
  # engine of the backup hung; its generation could have been migrated.
  Scenario Outline: A pausing engine that leaves is not lost to a backup that hangs
    Given a site with engines "e1,e2,e3"
    And engines that report the backups that they keep
    And engines that produce 100 events
    And route "stream" has a timeout of 12000 ms
    And the gateway runs
    And the store has been reachable for a while
    When the engine that gets the request will "long pause at 30"
    And a caller with 12 seconds sends a short body on route "stream"
    And after 0.8 seconds the backup is kept
    And the engine of its backup takes 20.0 seconds to take over
    And after <drain> seconds engine of the run is told to leave
    And the caller has read its response
    Then events 1 to 100 came once, in order and complete

    Examples:
      | drain |
      | 1.0   |
      | 1.5   |
      | 1.9   |
