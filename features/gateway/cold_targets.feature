Feature: Targets that have just started get few requests

  # A target that gets more than its rate x 1.5 + 5 requests in any second
  # while it is cold crashes. The gateways share no state, and each has a
  # clock of its own and a view of the others that may be wrong.
  Scenario Outline: All gateways together keep to the limit of a cold target
    When 1 to 40 gateways send all they may to targets that handle <rate> a second while <kind>
    Then no target gets more than <limit> requests in any second

    Examples:
      | rate | limit | kind                    |
      | 2    | 8     | all know one another    |
      | 10   | 20    | all know one another    |
      | 31   | 51    | all know one another    |
      | 2    | 8     | views miss a third      |
      | 10   | 20    | views miss a third      |
      | 31   | 51    | views miss a third      |
      | 2    | 8     | bursts and missed views |
      | 10   | 20    | bursts and missed views |
      | 31   | 51    | bursts and missed views |
      | 2    | 8     | restarts                |
      | 10   | 20    | restarts                |
      | 31   | 51    | restarts                |
      | 2    | 8     | all gateways start      |
      | 10   | 20    | all gateways start      |
      | 31   | 51    | all gateways start      |
      | 0.3  | 5     | views miss a third      |

  Scenario Outline: A cold target is not left idle
    When 1 to 40 gateways send all they may to targets that handle <rate> a second while all know one another
    Then each target gets at least 70 % of what it can handle

    Examples:
      | rate |
      | 0.3  |
      | 2    |
      | 10   |
      | 31   |

  Scenario Outline: A gateway that has just started sends nothing to a cold target
    Given a gateway that started at second 0 and has <contact> with others
    Then at second <second> it sends <what> to a cold target

    Examples:
      | contact | second | what    |
      | contact | 1.9    | nothing |
      | contact | 2.1    | one     |
      | no      | 4.9    | nothing |
      | no      | 5.1    | one     |

  Scenario Outline: A gateway that is no longer heard of keeps its slots for a minute
    Given two gateways of which one has not been heard of for <seconds> seconds
    Then the other owns <which> slots of 50 cold targets

    Examples:
      | seconds | which |
      | 59      | some  |
      | 61      | all   |

  Scenario Outline: Settings that leave no room allow no request
    When a cold target handles <rate> a second with overrun <overrun> and slack <slack>
    Then it has <slots> slots

    Examples:
      | rate | overrun | slack | slots |
      | 2    | 1.5     | 5     | 2     |
      | 0.5  | 1       | 0     | 0     |
      | 1    | 1       | 0     | 1     |
      | 2    | -1      | 0     | 0     |

  Scenario Outline: Requests to a cold target are bounded
    Given a site with a plain target that can handle 2 requests a second while it is cold
    And the gateway runs
    And the gateway has run for 5 seconds
    When the target becomes cold by <sign>
    And 20 callers send requests to route "once" together
    Then the cold target executed 1 to 8 requests
    And the other callers got status 503 with a Retry-After header

    Examples:
      | sign                          |
      | its entry                     |
      | its response                  |
      | its entry, once more          |
      | the same entry, written again |
      | the end of an evacuation      |

  Scenario: Nothing is sent to a cold target of another data centre
    Given a site with a plain target that can handle 2 requests a second while it is cold
    And the target is in data centre "zone-b"
    And the gateway runs
    And the gateway has run for 5 seconds
    When the target becomes cold by its entry
    And 20 callers send requests to route "once" together
    Then the cold target executed 0 to 0 requests

  Scenario Outline: Without a bound, all requests are sent
    Given a site with a plain target with a warm-up of <seconds> seconds and a rate of <rate>
    And the gateway runs
    When the target becomes cold by its entry
    And 20 callers send requests to route "once" together
    Then the cold target executed 20 to 20 requests

    Examples:
      | seconds | rate |
      | 60      | 0    |
      | 0       | 2    |

  Scenario: A target that is warm again gets all requests
    Given a site with a plain target that can handle 2 requests a second while it is cold
    And the gateway runs
    And the gateway has run for 5 seconds
    When the target is cold for 1 second and that time has passed
    And 20 callers send requests to route "once" together
    Then the cold target executed 20 to 20 requests

  Scenario Outline: An odd header names no time
    Given a site with a plain target that can handle 2 requests a second while it is cold
    And the log of the gateway is kept
    And the gateway runs
    When the target names "<value>" as the time for which it is cold
    And 20 callers send requests to route "once" together
    Then the cold target executed 20 to 20 requests
    And the odd time is logged at most once

    Examples:
      | value                           |
      | soon                            |
      | -5000                           |
      | nan                             |
      | inf                             |
      | 1e9                             |

  Scenario: A time of over an hour counts as an hour
    Given a site with a plain target that can handle 2 requests a second while it is cold
    And the gateway runs
    When the target names "99999999999999999999" as the time for which it is cold
    Then the state dump says that the target is cold for 3590 to 3600 seconds

  Scenario: Generations wait for their turn at a cold engine
    Given a site with an engine that can handle 2 requests a second while it is cold
    And the gateway runs
    And the gateway has run for 5 seconds
    When 4 callers open streams on route "stream" together
    Then all streams are complete
    And the engine got at most 8 generations in any second
