Feature: One gateway of each data centre watches the directory

  Scenario: Gateways that know each other choose the same watcher
    Given 15 gateways of data centre "a" and 15 of "b" that know each other
    Then 1 gateway of "a" and 1 of "b" watch the directory
    And the other gateways of each data centre fetch from its watcher

  Scenario Outline: A watcher that does not answer is not chosen for a while
    Given 15 gateways of data centre "a" and 15 of "b" that know each other
    When the watcher of "a" does not answer the other gateways
    And <seconds> seconds pass <contact> between the gateways
    Then <count> gateways of "a" watch the directory

    Examples: the gateway that does not answer keeps watching
      | seconds | contact         | count |
      | 0       | with contact    | 2     |
      | 4       | with contact    | 1     |
      | 11      | without contact | 15    |

  Scenario: A watcher that fails repeatedly is not chosen for longer
    Given 15 gateways of data centre "a" and 15 of "b" that know each other
    When the watcher of "a" does not answer the other gateways
    And 4 seconds pass with contact between the gateways
    And the watcher of "a" does not answer the other gateways
    And 4 seconds pass with contact between the gateways
    Then 2 gateways of "a" watch the directory
    When 3 seconds pass with contact between the gateways
    Then 1 gateways of "a" watch the directory

  Scenario: Two gateways that do not know each other both watch
    Given 2 gateways of data centre "a" that know no other gateway
    Then 2 gateways of "a" watch the directory

  Scenario Outline: A peer's view is as old as the call that confirmed it
    Given a gateway that fetches from a peer at second 1000
    When the response takes <takes> seconds and reports a view of <age> seconds
    Then the view counts as current at second <current>

    Examples: a delayed response does not make a view newer
      | takes | age  | current |
      | 0.0   | 0.4  | 999.6   |
      | 30.0  | 0.4  | 999.6   |
      | 0.5   | -0.3 | 1000.3  |

  Scenario Outline: A peer receives the changes after its revision, or all entries
    Given a listing at revision 100 with entries "x y"
    When the entries "<changes>" change in this order
    Then a peer at revision <known> receives <expected>

    Examples: -x is a deletion
      | changes | known | expected     |
      | x       | 100   | changes x    |
      | x -y    | 100   | changes x -y |
      | x -y    | 101   | changes -y   |
      | x -y    | 102   | changes      |
      | x -y    | 99    | all x        |

  Scenario: A peer that is too far behind receives all entries
    Given a listing at revision 100 with entries "x y"
    When entry "x" changes 600 times
    Then a peer at revision 100 receives all x y

  Scenario: A change reaches a gateway that fetches from its peer
    Given a site with plain targets "a,b"
    And two gateways run that know each other
    When target "a" starts to drain
    And the operator publishes another version
    Then both gateways list target "a" as leaving and use that version
    And one of them watches the store and the other fetches from it

  Scenario Outline: A gateway watches the store itself when its peer fails
    Given a site with plain targets "a,b"
    And two gateways run that know each other
    When the watching gateway <fails>
    And target "a" starts to drain
    Then the other gateway lists target "a" as leaving
    And the other gateway watches the store itself

    Examples:
      | fails                     |
      | is cut off from the store |
      | stops                     |

  Scenario Outline: Each gateway reads a large configuration from the store itself
    Given a site with plain targets "a,b"
    And two gateways run that know each other
    When the operator publishes a configuration with <routes> more routes
    Then both gateways use that version
    And the gateway that fetches from its peer made <calls> calls to the store

    Examples:
      | routes | calls |
      | 10     | no    |
      | 400    | some  |

  Scenario: Gateways whose seeds were all dead find one another after a reload
    Given three gateways run whose seeds are all dead
    When a reload names live seeds
    Then one watches the store for the others within 4 seconds
