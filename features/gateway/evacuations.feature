Feature: Nothing new reaches a zone that is being evacuated

  Background:
    Given a zoned site with targets "a1@zone-a a2@zone-a b1@zone-b"
    And zoned engines "ea1@zone-a ea2@zone-a eb1@zone-b eb2@zone-b"

  Scenario Outline: Requests go to other zones until the evacuation is taken back
    # The gateway is in zone-a, so the usual placement prefers that zone.
    Given the zoned gateway runs
    When zone "zone-a" is evacuated
    And zoned callers send 6 requests to route "<route>"
    Then each zoned caller got status 200
    And zoned requests ran in "zone-b" only
    When the evacuation of zone "zone-a" is taken back
    And zoned callers send 12 requests to route "<route>"
    Then each zoned caller got status 200
    And zoned requests ran in "zone-a zone-b" both

    Examples:
      | route  |
      | once   |
      | stream |

  Scenario: An evacuation that is written twice needs one deletion
    Given the zoned gateway runs
    When zone "zone-a" is evacuated
    And zone "zone-a" is evacuated
    Then the zoned log has 1 events "zone_evacuated" of "zone-a"
    When the evacuation of zone "zone-a" is taken back
    Then the zoned log has 1 events "evacuation_ended" of "zone-a"

  Scenario: A zone that is evacuated again is left again
    Given the zoned gateway runs
    When zone "zone-a" is evacuated
    And the evacuation of zone "zone-a" is taken back
    And zone "zone-a" is evacuated
    And zoned callers send 4 requests to route "once"
    Then zoned requests ran in "zone-b" only

  Scenario: Requests that run in the zone are completed there
    Given zoned engines make 100 events
    And zoned targets "b1 eb1 eb2" are not listed
    And the zoned gateway runs
    When zoned target "a1" and "a2" hold a request to route "once"
    And a zoned caller opens a stream on route "stream"
    And the zoned stream has begun
    And after 0.2 seconds zone "zone-a" is evacuated
    And the zoned targets release what they hold
    Then the zoned stream is whole
    And the zoned stream was not moved and ran on 1 engine
    And the zoned caller of what was held got status 200

  Scenario: A request that fails in the zone is repeated in another
    Given the zoned gateway runs
    When zoned target "a1" and "a2" hold a request to route "safe"
    And each zoned target of "zone-a" answers the next request with "reset"
    And zone "zone-a" is evacuated
    And the zoned targets release what they hold
    Then the zoned caller of what was held got status 200
    And the zoned request ran in "zone-a" once and then in "zone-b"

  Scenario: A stream whose engine fails in the zone is resumed in another
    Given zoned engines make 100 events
    And zoned engines "eb1 eb2" have no room for now
    And the zoned gateway runs
    When each zoned target of "zone-a" answers the next request with "reset at 60"
    And a zoned caller opens a stream on route "resume"
    And the zoned stream has begun
    And after 0.2 seconds zone "zone-a" is evacuated
    And after 0.0 seconds zoned engine "eb1" has room
    Then the zoned stream is whole
    And the zoned stream ran in "zone-a" once and then in "zone-b"

  Scenario: A backup in the zone is not used
    # It is on an engine of the same zone; its use would be a new request there.
    Given zoned engines make 200 events
    And zoned engines "eb1 eb2" have no room for now
    And the zoned gateway runs
    When each zoned target of "zone-a" answers the next request with "reset at 80"
    And a zoned caller opens a stream on route "stream"
    And the zoned stream has begun
    And after 0.2 seconds zone "zone-a" is evacuated
    Then the zoned stream is cut off before event 80
    And the zoned stream was not moved and ran on 1 engine

  Scenario Outline: A stream is not moved within the zone
    Given zoned engines make 250 events
    And zoned engines "eb1 eb2" have no room for now
    And the zoned gateway runs
    When a zoned caller opens a stream on route "stream"
    And the zoned stream has begun
    And after 0.2 seconds zone "zone-a" is evacuated
    And after <seconds> seconds the zoned engine of the stream drains
    Then the zoned stream is whole
    And the zoned stream was not moved and ran on 1 engine

    Examples: an engine that leaves early has no backup that caught up
      | seconds |
      | 0.0     |
      | 1.2     |

  Scenario: A move that has begun is not completed once the zone is evacuated
    # The last copy follows a second after the first one; it would stop the
    # stream and resume it in the zone.
    Given zoned engines make 200 events
    And zoned engines "eb1 eb2" have no room for now
    And the zoned gateway runs
    When a zoned caller opens a stream on route "stream"
    And after 0.2 seconds the zoned engine of the stream drains
    And the zoned stream has been copied once
    And after 0.0 seconds zone "zone-a" is evacuated
    Then the zoned stream is whole
    And the zoned stream ran on 1 engine and was not stopped

  Scenario: A request that waits for the zone goes to another one
    Given the zoned gateway runs
    When zoned targets of "zone-a zone-b" are full
    And a zoned caller opens a stream on route "stream"
    And after 0.1 seconds zone "zone-a" is evacuated
    And after 0.0 seconds zoned engine "ea1" has room
    And after 0.1 seconds zoned engine "eb1" has room
    Then the zoned stream is whole
    And zoned requests ran in "zone-b" only

  Scenario: A request that waits is refused at once when all its zones are evacuated
    Given zoned route "stream" allows regions "r-a"
    And the zoned gateway runs
    When zoned targets of "zone-a" are full
    And a zoned caller opens a stream on route "stream"
    And after 0.1 seconds zone "zone-a" is evacuated
    Then the zoned caller is refused with "zones_evacuated" within 0.5 seconds
    And the zoned refusals have a Retry-After
    And no zoned request ran

  Scenario Outline: If all zones of a service are evacuated, its requests are refused at once
    Given the zoned gateway runs
    When zone "zone-a" is evacuated
    And zone "zone-b" is evacuated
    And zoned callers send 2 requests to route "<route>"
    Then each zoned caller was refused with "zones_evacuated" within 0.5 seconds
    And the zoned refusals have a Retry-After
    And no zoned request ran
    And the zoned refusals of "zones_evacuated" are counted and logged with regions ""
    And the zoned dump and gauge show evacuated zones "zone-a zone-b"

    Examples:
      | route  |
      | once   |
      | stream |

  Scenario: A silent target in another zone is no evacuated one
    # The refusal then tells when that target is back.
    Given the zoned gateway runs
    When zone "zone-a" is evacuated
    And zoned target "b1" asks for silence of 20 seconds
    And zoned callers send 1 requests to route "once"
    Then each zoned caller was refused with "targets_silent" within 0.5 seconds

  Scenario: A gateway that starts knows of an evacuation before it is ready
    Given zone "zone-a" was evacuated before
    And the zoned gateway runs
    When zoned callers send 6 requests to route "once"
    Then each zoned caller got status 200
    And zoned requests ran in "zone-b" only

  Scenario: A full read replaces the evacuated zones
    # Changes that the store has discarded are not told one by one.
    Given zone "zone-a" was evacuated before
    And the zoned gateway runs
    When the evacuation of "zone-a" is replaced by one of "zone-b" while the store forgets its history
    And zoned callers send 6 requests to route "once"
    Then each zoned caller got status 200
    And zoned requests ran in "zone-a" only

  Scenario: A gateway that fetches from its peer learns of an evacuation and its end
    Given two zoned gateways run that know each other
    When zone "zone-a" is evacuated at both zoned gateways
    And the evacuation of zone "zone-a" is taken back at both zoned gateways
    Then the zoned gateways still have one watcher

  Scenario Outline: An odd evacuation is kept or ignored, with a log line
    Given the zoned gateway runs
    When the operator's key "<key>" is written with value <value>
    And zone "zone-a" is evacuated
    Then the zoned log has 1 events "<event>"
    And the zoned dump and gauge show evacuated zones "<zones>"

    Examples: the value of an evacuation means nothing
      | key                | value    | event                   | zones         |
      | op/evacuate/       | {}       | entry_ignored           | zone-a        |
      | op/evacuate/zone-x | {}       | evacuation_unknown_zone | zone-a zone-x |
      | op/evacuate/zone-x | not JSON | evacuation_unknown_zone | zone-a zone-x |
