Feature: A stream goes on only at the software version that began it

  # What targets of two versions write does not fit together, and targets do
  # not check it. Each scenario guards one step that carries a stream on.

  Scenario: A gateway that starts a stream again keeps to its version
    Given a versioned site with engines "a1@v1 a2@v1 b1@v2 b2@v2"
    And versioned engines that keep no backups
    And the first try of each versioned stream will "reset at 9"
    And 1 versioned gateways run in "zone-a"
    When versioned callers open streams at gateway 1
    Then each versioned answer has events 1 to 40 from several engines of one version
    And versioned streams of at least 2 versions began

  Scenario: A stream whose version is gone is cut and not started elsewhere
    Given a versioned site with engines "a1@v1 b1@v2 c1@v3"
    And versioned engines that keep no backups
    And 1 versioned gateways run in "zone-a"
    When versioned callers open streams at gateway 1
    And the versioned engine of the first stream breaks
    Then each versioned stream of that engine is cut, of one version

  Scenario: A backup is kept at an engine of the same version
    # One engine has room for all streams and their backups, however they are
    # spread.
    Given a versioned site with engines "a1@v1 a2@v1 b1@v2 b2@v2"
    And versioned engines have room for backups of all streams
    And the first try of each versioned stream will "reset at 9"
    And 1 versioned gateways run in "zone-a"
    When versioned callers open streams on route "stream" at gateway 1
    Then each versioned answer has events 1 to 40 from several engines of one version
    And versioned streams of at least 2 versions began

  Scenario Outline: A stream is moved to an engine of the same version
    Given a versioned site with engines "a1@v1 a2@v1 b1@v2 b2@v2 c1@v3 c2@v3"
    And versioned engines that keep no backups
    And versioned engines make 100 events
    And each versioned engine <answer> when a run is moved
    And 1 versioned gateways run in "zone-a"
    When versioned callers open streams on route "stream" at gateway 1
    And the versioned engine of the first stream leaves
    Then each versioned answer has events 1 to 100 from <writers> of one version
    And a versioned stream was moved away from that engine

    Examples: the copy is at the destination, or stays at the source
      | answer                       | writers         |
      | is answered late             | several engines |
      | keeps the copy at the source | any engines     |

  Scenario: Before its first event a stream may go to any version
    Given a versioned site with engines "a1@v1 b1@v2"
    And the first versioned engine that gets a request will "half at 1"
    And 1 versioned gateways run in "zone-a"
    When versioned callers open streams at gateway 1
    Then each versioned answer has events 1 to 40 from any engines of one version
    And one versioned stream was run by engines of two versions

  Scenario Outline: A caller takes its stream up
    Given a versioned site with engines "<engines>"
    And 4 versioned gateways run in "zone-b zone-a"
    When versioned callers begin streams at gateway 1
    And they take their streams up at gateway <gateway> with its id
    Then each versioned stream went on at the version that began it
    And versioned streams of at least <versions> versions began

    Examples: at the same gateway, at another, and in the other data centre
      | engines                             | gateway | versions |
      | a1@v1 a2@v1 b1@v2 b2@v2             | 1       | 2        |
      | a1@v1 a2@v1 b1@v2 b2@v2             | 3       | 2        |
      | a1@v1 a2@v1 b1@v2 b2@v2             | 2       | 2        |
      | a1@v1 a2@v1 b1@v2 b2@v2 c1@v3 c2@v3 | 4       | 2        |

    Examples: one version only, as before
      | engines           | gateway | versions |
      | a1@v1 a2@v1 a3@v1 | 1       | 1        |

  # The id was recorded, but the caller could not name it, and the stream was
  # refused.
  Scenario Outline: A stream is taken up whatever the length of its id
    Given a versioned site with engines "a1@v1 a2@v1 b1@v2 b2@v2"
    And versioned callers use ids of <characters> characters
    And 4 versioned gateways run in "zone-b zone-a"
    When versioned callers begin streams at gateway 1
    And they take their streams up at gateway <gateway> with its id
    Then each versioned stream went on at the version that began it
    And no gateway keeps the id of a stream of more than 200 characters

    Examples:
      | characters | gateway |
      | 200        | 3       |
      | 201        | 1       |
      | 201        | 3       |
      | 201        | 2       |
      | 1500       | 3       |

  Scenario Outline: A caller takes its stream up more than once
    Given a versioned site with engines "a1@v1 a2@v1 b1@v2 b2@v2"
    And 4 versioned gateways run in "zone-b zone-a"
    When versioned callers begin streams at gateway 1
    And they take their streams up at gateway <second> and lose them again
    And they take their streams up at gateway <third> with its id
    Then each versioned stream went on at the version that began it

    Examples: it names the first try each time
      | second | third |
      | 1      | 1     |
      | 3      | 1     |
      | 2      | 4     |

  Scenario: A stream goes on after the gateway that began it has ended
    Given a versioned site with engines "a1@v1 a2@v1 b1@v2 b2@v2"
    And 4 versioned gateways run in "zone-a"
    When versioned callers begin streams at gateway 1
    And versioned gateway 1 ends
    And they take their streams up at gateway 3 with its id
    Then each versioned stream went on at the version that began it

  Scenario: A stream goes on at a gateway that has just started
    Given a versioned site with engines "a1@v1 a2@v1 b1@v2 b2@v2"
    And 4 versioned gateways run in "zone-a"
    When versioned callers begin streams at gateway 1
    And versioned gateway 4 starts again
    And 2 seconds pass at the versioned site
    And they take their streams up at gateway 4 with its id
    Then each versioned stream went on at the version that began it

  Scenario: Streams go on while the store is away
    Given a versioned site with engines "a1@v1 a2@v1 b1@v2 b2@v2"
    And versioned route "resume" is public
    And 4 versioned gateways run in "zone-a"
    And the store is away from all versioned gateways
    When versioned callers begin streams at gateway 1
    And they take their streams up at gateway 2 with its id
    Then each versioned stream went on at the version that began it

  Scenario: A stream that began before the second version was added goes on
    # With one version no records are sent, so they have to follow.
    Given a versioned site with engines "a1@v1 a2@v1"
    And 4 versioned gateways run in "zone-a"
    When versioned callers begin streams at gateway 1
    And versioned engines "b1@v2 b2@v2 b3@v2 b4@v2" are added
    And 0.5 seconds pass at the versioned site
    And they take their streams up at gateway 3 with its id
    Then each versioned stream went on at the version that began it

  Scenario Outline: A stream of unknown origin is refused
    Given a versioned site with engines "a1@v1 a2@v1 b1@v2 b2@v2"
    And 2 versioned gateways run in "zone-a"
    When versioned callers begin streams at gateway 1
    And they take their streams up at gateway <gateway> with <names>
    Then each versioned caller is refused at once with "unknown_software_version"

    Examples: nothing tells which version began it
      | names               | gateway |
      | no id               | 1       |
      | no id               | 2       |
      | an unknown id       | 1       |
      | an unknown id       | 2       |
      | a very long id      | 2       |
      | an empty id         | 1       |
      | a control character | 2       |
      | two ids             | 1       |
      | two ids             | 2       |

  Scenario: An id that is given twice is one id
    Given a versioned site with engines "a1@v1 a2@v1 b1@v2 b2@v2"
    And 2 versioned gateways run in "zone-a"
    When versioned callers begin streams at gateway 1
    And they take their streams up at gateway 2 with its id twice
    Then each versioned stream went on at the version that began it

  Scenario Outline: A place in a stream that cannot be read is refused
    # Otherwise another stream would begin in the middle of the first.
    Given a versioned site with engines "a1@v1 b1@v2"
    And 2 versioned gateways run in "zone-a"
    When versioned callers begin streams at gateway 1
    And they take their streams up at gateway <gateway> after "<place>"
    Then each versioned caller is told of a bad request, which is not run

    Examples:
      | gateway | place                |
      | 1       | three                |
      | 2       | three                |
      | 1       | -1                   |
      | 1       | 3.0                  |
      | 1       | 3, 3                 |
      | 1       | 1000000000000000000  |
      | 1       | 3 and 2              |

  Scenario: A caller that has no event yet may say so
    # An empty place means that no event has come.
    Given a versioned site with engines "a1@v1 a2@v1 b1@v2 b2@v2"
    And 1 versioned gateways run in "zone-a"
    When versioned callers open streams at gateway 1 with no place
    Then each versioned answer has events 1 to 40 from any engines of one version

  Scenario: With one version for long enough a stream needs no id
    Given a versioned site with engines "a1@v1 a2@v1"
    And versioned route "resume" has a timeout of 2000 ms
    And 2 versioned gateways run in "zone-a"
    And 4.5 seconds pass at the versioned site
    When versioned callers begin streams at gateway 1
    And they take their streams up at gateway 2 with no id
    Then each versioned stream went on at the version that began it

  Scenario: That one version serves now does not tell what began a stream
    Given a versioned site with engines "a1@v1"
    And 2 versioned gateways run in "zone-a"
    And 7 seconds pass at the versioned site
    When versioned callers begin streams at gateway 1
    And versioned engines "b1@v2 b2@v2" are added
    And versioned engines "a1" are gone
    And they take their streams up at gateway 2 with no id
    Then each versioned caller is refused at once with "unknown_software_version"

  Scenario: A gateway that has just started does not trust its first view
    Given a versioned site with engines "a1@v1"
    And 1 versioned gateways run in "zone-a"
    When versioned callers begin streams at gateway 1
    And versioned engines "b1@v2 b2@v2" are added
    And versioned engines "a1" are gone
    And versioned gateway 1 starts again
    And they take their streams up at gateway 1 with its id
    Then each versioned caller is refused at once with "unknown_software_version"

  Scenario: A stream without id is refused while the store is away
    Given a versioned site with engines "a1@v1 a2@v1"
    And versioned route "resume" is public
    And 2 versioned gateways run in "zone-a"
    And 7 seconds pass at the versioned site
    And the store is away from all versioned gateways
    When versioned callers begin streams at gateway 1
    And they take their streams up at gateway 2 with no id
    Then each versioned caller is refused at once with "unknown_software_version"

  Scenario Outline: A stream whose version is gone is refused and not run
    Given a versioned site with engines "a1@v1"
    And 2 versioned gateways run in "zone-a"
    When versioned callers begin streams at gateway 1
    And versioned engines "b1@v2 b2@v2" are added
    And versioned engines "a1" are gone
    And they take their streams up at gateway <gateway> with its id
    Then each versioned caller is refused at once with "software_version_gone"

    Examples:
      | gateway |
      | 1       |
      | 2       |

  Scenario: A stream goes on after the release went back
    Given a versioned site with engines "a1@v1"
    And 2 versioned gateways run in "zone-a"
    When versioned callers begin streams at gateway 1
    And versioned engines "b1@v2 b2@v2" are added
    And versioned engines "a1" are gone
    And versioned engines "a3@v1 a4@v1" are added
    And they take their streams up at gateway 2 with its id
    Then each versioned stream went on at the version that began it

  Scenario Outline: A version belongs to one start and not to an id or address
    Given a versioned site with engines "a1@v1"
    And 2 versioned gateways run in "zone-a"
    When versioned callers begin streams at gateway 1
    And versioned engine "a1" starts again as "<again>"
    And they take their streams up at gateway <gateway> with its id
    Then each versioned caller is refused at once with "software_version_gone"

    Examples: the same address under the same or another id
      | again | gateway |
      | a1@v2 | 1       |
      | a1@v2 | 2       |
      | b1@v2 | 1       |
      | b1@v2 | 2       |

  Scenario Outline: A stream is not sent to a start that is not listed yet
    # Its former entry has its id and address, and the version of the stream.
    Given a versioned site with engines "a1@v1 <other>"
    And 2 versioned gateways run in "zone-a"
    When versioned callers begin streams at gateway 1
    And versioned engine "a1" starts again as "a1@v2" before its entry says so
    And versioned engine "a1" reports <reports>
    And they take their streams up at gateway <gateway> with its id
    Then <outcome>

    Examples: another engine carries the streams on, or none
      | other       | gateway | reports   | outcome                                                               |
      |             | 1       | its start | each versioned caller is refused at once with "software_version_gone" |
      |             | 2       | its start | each versioned caller is refused at once with "software_version_gone" |
      |             | 2       | nothing   | each versioned caller is refused in time with "unknown_start"         |
      | a2@v1 a3@v1 | 1       | its start | each versioned stream went on at the version that began it            |
      | a2@v1 a3@v1 | 2       | nothing   | each versioned stream went on at the version that began it            |

  Scenario: A gateway does not start a stream again at a start not listed yet
    Given a versioned site with engines "a1@v1 a2@v1"
    And versioned engines that keep no backups
    And versioned engines make 100 events
    And 1 versioned gateways run in "zone-a"
    When versioned callers open streams at gateway 1
    And 0.5 seconds pass at the versioned site
    And versioned engine "a1" starts again as "a1@v2" before its entry says so
    And versioned engine "a2" breaks
    Then each versioned stream of that engine is cut, of one version

  Scenario Outline: A stream is not moved to a start that is not listed yet
    Given a versioned site with engines "a1@v1 a2@v1"
    And versioned engines that keep no backups
    And versioned engines make 150 events
    And versioned route "stream" has a timeout of 8000 ms
    And 1 versioned gateways run in "zone-a"
    When versioned callers open streams on route "stream" at gateway 1
    And 0.5 seconds pass at the versioned site
    And versioned engine "a2" starts again as "a2@v2" before its entry says so
    And versioned engine "a2" reports <reports>
    And versioned engine "a1" leaves
    Then each versioned stream of that engine is whole, of one version

    Examples: it goes on where it is
      | reports   |
      | its start |
      | nothing   |

  Scenario: A stream does not go on at a start that is not listed yet
    # Its engine has gone on to send the backup to the same address.
    Given a versioned site with engines "a1@v1 a2@v1"
    And versioned engines make 150 events
    And 1 versioned gateways run in "zone-a"
    When versioned callers open streams on route "stream" at gateway 1
    And 0.5 seconds pass at the versioned site
    And versioned engine "a2" starts again as "a2@v2" before its entry says so
    And 0.6 seconds pass at the versioned site
    And versioned engine "a1" breaks
    Then each versioned stream of that engine is cut, of one version

  Scenario: An engine whose reports name no start carries streams on
    # Such a report says nothing, and must not end the service.
    Given a versioned site with engines "a1@v1 a2@v1"
    And 2 versioned gateways run in "zone-a"
    When versioned engine "a1" reports no start
    And versioned engine "a2" reports no start
    And versioned callers begin streams at gateway 1
    And they take their streams up at gateway 2 with its id
    Then each versioned stream went on at the version that began it

  Scenario Outline: A stream that an engine of unknown version began is refused
    Given a versioned site with engines "a1@<odd> a2@<odd>"
    And 2 versioned gateways run in "zone-a"
    When versioned callers begin streams at gateway 1
    And they take their streams up at gateway <gateway> with its id
    Then each versioned caller is refused at once with "unknown_software_version"

    Examples: equal entries do not mean equal versions
      | odd    | gateway |
      | number | 1       |
      | number | 2       |
      | empty  | 1       |
      | list   | 1       |
      | null   | 1       |

  Scenario Outline: An entry that has changed its version tells none
    Given a versioned site with engines "a1@v1 a2@v1"
    And 2 versioned gateways run in "zone-a"
    When the entries of versioned engines "a1 a2" change to "v2"
    And versioned callers begin streams at gateway 1
    And they take their streams up at gateway <gateway> with its id
    Then each versioned caller is refused at once with "unknown_software_version"

    Examples:
      | gateway |
      | 1       |
      | 2       |

  Scenario Outline: A stream is refused if its version turns out to be unknown
    # The entry may have been wrong when the stream began.
    Given a versioned site with engines "a1@v1"
    And 2 versioned gateways run in "zone-a"
    When versioned callers begin streams at gateway 1
    And versioned engines "a2@v1 a3@v1" are added
    And the entries of versioned engines "a1" change to "v2"
    And they take their streams up at gateway <gateway> with its id
    Then each versioned caller is refused at once

    Examples:
      | gateway |
      | 1       |
      | 2       |

  Scenario Outline: A gateway whose view is late does not guess
    # The entries of the second version have reached one gateway and not yet
    # the other, whose view still counts as recent.
    Given a versioned site with engines "a1@v1 a2@v1"
    And 2 versioned gateways run in "zone-a" and <link>
    And 7 seconds pass at the versioned site
    When versioned gateway 2 is cut off from the store
    And versioned engines "b1@v2 b2@v2 b3@v2 b4@v2" are added for gateway 1
    And versioned callers begin streams at gateway 1
    And they take their streams up at gateway 2 with <names>
    Then no versioned stream holds events of two versions

    Examples:
      | link                | names  |
      | know one another    | its id |
      | know one another    | no id  |
      | do not meet         | its id |
      | do not meet         | no id  |
