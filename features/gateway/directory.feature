Feature: The gateway applies the contents of the directory

  Scenario Outline: Changes of keys, routes and versions are applied
    Given a site with plain targets "a"
    And the gateway runs
    When the operator <does>
    And a caller sends a request to route "once"
    Then the caller gets status <status> and "<body>"

    Examples:
      | does                        | status | body       |
      | publishes the same again    | 200    | its answer |
      | takes the key away          | 401    | no answer  |
      | drops route "once"          | 404    | no answer  |
      | publishes an older version without routes | 200 | its answer |
      | publishes bytes that are no configuration | 200 | its answer |

  Scenario Outline: Requests are refused while the store is unavailable for too long
    Given a site with plain targets "a"
    And revoked keys must stop working within 1.5 seconds
    And the gateway runs
    When the store is "<fault>" for 2 seconds
    And a caller sends a request to route "once"
    Then the caller gets status 503 and "no answer"
    And the caller gets a Retry-After header
    And the gateway is not ready
    When the store is back
    And a caller sends a request to route "once"
    Then the caller gets status 200 and "its answer"

    Examples:
      | fault   |
      | busy    |
      | many    |
      | silent  |
      | garbage |

  Scenario: All entries are read again when the store has lost its history
    Given a site with plain targets "a,b"
    And the gateway runs
    When the store forgets its history while target "a" begins to drain
    And a caller sends a request to route "once" 6 times
    Then every caller got status 200
    And target "a" executed 0 requests

  # Missing targets were removed only when a watch of up to 0.75 s ended, so
  # some got requests for longer than a target that leaves has to serve.
  Scenario Outline: A target that disappears soon after the first contact is removed in time
    Given a site with plain targets "a,b"
    And the gateway runs
    When target "a" is no longer listed
    And target "c" is listed <seconds> seconds later
    Then target "a" is removed 2.0 to 2.3 seconds after it was listed last

    Examples:
      | seconds |
      | 0.1     |
      | 0.25    |
      | 0.45    |
      | 0.65    |

  Scenario Outline: Invalid and irrelevant entries are ignored
    Given a site with plain targets "a"
    And the store holds an entry that <is>
    And the gateway runs
    When a caller sends a request to route "once" 4 times
    Then every caller got status 200

    Examples:
      | is                          |
      | is no JSON                  |
      | has no address              |
      | has a number as its service |
      | has a state of its own      |
      | has an address without port |
      | is of an unknown service    |

  Scenario Outline: An odd entry neither ends the reader nor stops it
    Given a site with plain targets "a"
    And the log of the gateway is kept
    And the gateway runs
    When another writer adds an entry that <is>
    And target "b" is listed after it
    Then the gateway learns of target "b"
    And no task of the gateway has failed
    When a caller sends a request to route "once" 8 times
    Then every caller got status 200

    Examples:
      | is                                |
      | is nested 50000 deep              |
      | has a valid field nested 5000 deep |
      | has a start of 400 digits         |
      | has a start of 5000 digits        |
      | has a negative start              |
      | has 400 digits of slots           |
      | has no slots                      |
      | has an infinite warm-up           |
      | has port 70000                    |
      | has port 0                        |
      | has a port of 400 digits          |
      | has a name as its address         |
      | has a null byte in its address    |
      | has a key with a line break       |
      | has a key of 5000 characters      |
      | has a key outside of ASCII        |

  Scenario: A gateway without a configuration answers 503
    Given a site with plain targets "a"
    And the gateway runs without a configuration
    When a caller sends a request to route "once"
    Then the caller gets status 503 and "no answer"
    And the gateway is not ready

  Scenario: A draining target receives no new requests
    Given a site with plain targets "a,b"
    And the gateway runs
    When target "a" is listed as draining
    And a caller sends a request to route "once" 6 times
    Then every caller got status 200
    And target "a" executed 0 requests

  Scenario: An older version does not replace the version in force
    Given a site with plain targets "a"
    And the gateway runs
    When the operator publishes version 9 and then version 8
    Then version 9 is in force
