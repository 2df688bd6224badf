Feature: The gateway applies the contents of the directory

  Scenario Outline: Changes of keys, routes and versions are applied
    Given a site with plain targets "a"
    And the gateway runs
    When the operator <does>
    And a caller asks on route "once"
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
    And keys must not work 1.5 seconds after they were taken away
    And the gateway runs
    When the store is "<fault>" for 2 seconds
    And a caller asks on route "once"
    Then the caller gets status 503 and "no answer"
    And the caller is told when to come back
    And the gateway is not ready
    When the store is back
    And a caller asks on route "once"
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
    And a caller asks on route "once" 6 times
    Then every caller got status 200
    And target "a" ran 0 requests

  Scenario Outline: Invalid and irrelevant entries are ignored
    Given a site with plain targets "a"
    And the store holds an entry that <is>
    And the gateway runs
    When a caller asks on route "once" 4 times
    Then every caller got status 200

    Examples:
      | is                          |
      | is no JSON                  |
      | has no address              |
      | has a number as its service |
      | has a state of its own      |
      | has an address without port |
      | is of an unknown service    |

  Scenario: A gateway without a configuration answers 503
    Given a site with plain targets "a"
    And the gateway runs without a configuration
    When a caller asks on route "once"
    Then the caller gets status 503 and "no answer"
    And the gateway is not ready

  Scenario: A draining target receives no new requests
    Given a site with plain targets "a,b"
    And the gateway runs
    When target "a" is listed as draining
    And a caller asks on route "once" 6 times
    Then every caller got status 200
    And target "a" ran 0 requests

  Scenario: An older version does not replace the version in force
    Given a site with plain targets "a"
    And the gateway runs
    When the operator publishes version 9 and then version 8
    Then version 9 is in force
