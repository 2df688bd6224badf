Feature: Requests stay in the regions that their route and team allow

  Background: zone-a is in region r-a, zone-b in r-b, and zone-c in none
    Given a zoned site with targets "a1@zone-a b1@zone-b c1@zone-c"
    And zoned engines "ea1@zone-a ea2@zone-a eb1@zone-b eb2@zone-b"

  Scenario Outline: A first send goes to a permitted region only
    # The gateway is in zone-a, so the usual placement prefers a1 and ea1.
    Given zoned route "<route>" allows regions "<of route>"
    And the zoned team allows regions "<of team>"
    And the zoned gateway runs
    When zoned callers send 6 requests to route "<route>"
    Then each zoned caller got status 200
    And zoned requests ran in "<zones>" only

    Examples:
      | route  | of route | of team | zones         |
      | once   | r-b      |         | zone-b        |
      | once   |          | r-b     | zone-b        |
      | once   | r-a r-b  | r-b     | zone-b        |
      | once   | r-a r-b  |         | zone-a zone-b |
      | stream | r-b      |         | zone-b        |
      | resume | r-a r-b  | r-b     | zone-b        |

  Scenario: A target in a zone that the settings lack serves unrestricted requests
    Given zoned targets "a1 b1" are not listed
    And the zoned gateway runs
    When zoned callers send 2 requests to route "once"
    Then each zoned caller got status 200
    And zoned requests ran in "zone-c" only

  Scenario Outline: A request without a usable region is refused at once
    # A time to retry would make callers repeat what only a change of the
    # configuration can mend.
    Given zoned route "<route>" allows regions "<of route>"
    And the zoned team allows regions "<of team>"
    And the zoned gateway runs
    When zoned callers send 1 requests to route "<route>"
    Then each zoned caller was refused with "no_allowed_region" within 0.5 seconds
    And the zoned refusals have no Retry-After
    And no zoned request ran
    And the zoned refusals of "no_allowed_region" are counted and logged with regions "<logged>"

    Examples:
      | route  | of route | of team | logged  |
      | once   | r-a      | r-b     |         |
      | once   | r-y r-z  |         | r-y,r-z |
      | once   |          | r-z     | r-z     |
      | stream | r-a      | r-b     |         |
      | stream | r-z      |         | r-z     |

  Scenario Outline: A repeat stays in the permitted region
    Given zoned route "safe" allows regions "r-b"
    And the zoned gateway runs
    When zoned target "b1" answers the next request with "<fault>"
    And zoned callers send 1 requests to route "safe"
    Then each zoned caller got status 200
    And zoned requests ran in "zone-b" only

    Examples:
      | fault   |
      | cut     |
      | reset   |
      | failure |
      | shed    |

  Scenario: A stream is resumed in the permitted region
    Given zoned route "resume" allows regions "r-b"
    And the zoned gateway runs
    When each zoned target of "zone-b" answers the next request with "reset at 9"
    And a zoned caller opens a stream on route "resume"
    Then the zoned stream is whole
    And zoned requests ran in "zone-b" only
    And the zoned stream ran on 2 engines and was not stopped

  Scenario Outline: A request whose permitted region is full or gone is refused, never sent elsewhere
    Given zoned route "<route>" allows regions "r-b"
    And the zoned gateway runs
    When zoned targets of "zone-b" are <state>
    And zoned callers send 1 requests to route "<route>"
    Then each zoned caller was refused with "<reason>" within 4 seconds
    And the zoned refusals have a Retry-After
    And no zoned request ran

    Examples:
      | route  | state    | reason           |
      | once   | shedding | no_repeats_left  |
      | once   | draining | no_target        |
      | stream | full     | no_room          |
      | stream | draining | no_room          |

  Scenario: A request waits for its region while another is idle
    Given zoned route "stream" allows regions "r-b"
    And the zoned gateway runs
    When zoned targets of "zone-b" are full
    And a zoned caller opens a stream on route "stream"
    And after 0.2 seconds zoned engine "eb2" has room
    Then the zoned stream is whole
    And zoned requests ran in "zone-b" only

  Scenario Outline: A request that waits follows the configuration in force
    Given zoned route "stream" allows regions "<before>"
    And the zoned gateway runs
    When zoned targets of "zone-a zone-b" are full
    And a zoned caller opens a stream on route "stream"
    And after 0.2 seconds the zoned configuration allows regions "<after>"
    And after 0.1 seconds zoned engine "ea1" has room
    And after 0.1 seconds zoned engine "eb1" has room
    Then the zoned stream is whole
    And zoned requests ran in "<zone>" only

    Examples:
      | before | after | zone   |
      | r-b    | r-a   | zone-a |
      |        | r-b   | zone-b |
      | r-a    | r-b   | zone-b |

  Scenario: A request that waits is refused at once when its regions become unusable
    Given zoned route "stream" allows regions "r-b"
    And the zoned gateway runs
    When zoned targets of "zone-b" are full
    And a zoned caller opens a stream on route "stream"
    And after 0.1 seconds the zoned configuration allows regions "r-z"
    Then the zoned caller is refused with "no_allowed_region"
    And the zoned refusals have no Retry-After
    And no zoned request ran

  Scenario: A request that waits keeps its regions when its route is dropped
    Given zoned route "stream" allows regions "r-b"
    And the zoned gateway runs
    When zoned targets of "zone-b" are full
    And a zoned caller opens a stream on route "stream"
    And after 0.1 seconds the zoned configuration drops route "stream"
    Then the zoned caller is refused with "no_room"
    And no zoned request ran

  Scenario: A stream that runs is not moved to a region that is no longer permitted
    # Destinations are in the data centre of the engine, so a change of the
    # configuration is what makes them forbidden.
    Given zoned route "stream" allows regions "r-b"
    And zoned engines make 200 events
    And the zoned gateway runs
    When a zoned caller opens a stream on route "stream"
    And the zoned stream has begun
    And after 0.3 seconds the zoned configuration allows regions "r-a"
    And after 0.1 seconds the zoned engine of the stream drains
    Then the zoned stream is whole
    And the zoned stream was not moved and ran on 1 engine

  Scenario: A stream does not fail over to a backup that is no longer permitted
    Given zoned route "stream" allows regions "r-b"
    And zoned engines make 200 events
    And the zoned gateway runs
    When each zoned target of "zone-b" answers the next request with "reset at 80"
    And a zoned caller opens a stream on route "stream"
    And the zoned stream has begun
    And after 0.3 seconds the zoned configuration allows regions "r-a"
    Then the zoned stream is cut off before event 80
    And the zoned stream was not moved and ran on 1 engine

  Scenario: Regions without a zone are shown and logged once per version
    Given zoned route "once" allows regions "r-a r-z"
    And the zoned team allows regions "r-y r-a"
    And the zoned gateway runs
    When the zoned configuration is published once more
    Then the zoned dump lists unusable regions "r-z" of route "once" and "r-y" of the team
    And region_unknown was logged once for each of 2 versions

  Scenario Outline: Regions of the wrong type make the configuration invalid
    Given the zoned gateway runs
    When a zoned configuration is published with <regions> as regions of the <holder>
    Then the zoned gateway keeps version 1

    Examples:
      | regions  | holder |
      | "r-a"    | route  |
      | [1]      | route  |
      | {}       | route  |
      | null     | team   |
      | [["r"]]  | team   |
      | 7        | team   |
