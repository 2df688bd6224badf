Feature: One gateway of each data centre watches the directory

  Scenario: Gateways that know one another choose the same watcher
    Given 15 gateways of data centre "a" and 15 of "b" that know one another
    Then 1 gateway of "a" and 1 of "b" watch the directory
    And the others of a data centre ask the one that watches

  Scenario Outline: A watcher that does not answer is passed over for a while
    Given 15 gateways of data centre "a" and 15 of "b" that know one another
    When the watcher of "a" does not answer the others
    And <seconds> seconds pass for the gateways, which <hear> of one another
    Then <count> gateways of "a" watch the directory

    Examples: the one that does not answer goes on watching
      | seconds | hear     | count |
      | 0       | hear     | 2     |
      | 4       | hear     | 1     |
      | 11      | hear not | 15    |

  Scenario: A watcher that goes on not answering is passed over for longer
    Given 15 gateways of data centre "a" and 15 of "b" that know one another
    When the watcher of "a" does not answer the others
    And 4 seconds pass for the gateways, which hear of one another
    And the watcher of "a" does not answer the others
    And 4 seconds pass for the gateways, which hear of one another
    Then 2 gateways of "a" watch the directory
    When 3 seconds pass for the gateways, which hear of one another
    Then 1 gateways of "a" watch the directory

  Scenario: Two that know nothing of one another both watch
    Given 2 gateways of data centre "a" that know nobody
    Then 2 gateways of "a" watch the directory

  Scenario Outline: A peer's view is as old as the call that confirmed it
    Given a gateway that asks a peer at second 1000
    When the answer takes <takes> seconds and tells an age of <age> seconds
    Then the view is taken as current at second <current>

    Examples: an answer that is held up makes no view younger
      | takes | age  | current |
      | 0.0   | 0.4  | 999.6   |
      | 30.0  | 0.4  | 999.6   |
      | 0.5   | -0.3 | 1000.3  |

  Scenario Outline: What a gateway passes on
    Given a listing at revision 100 with entries "x y"
    When "<changes>" change one after the other
    Then who knows revision <known> is told <told>

    Examples: -x is a removal
      | changes | known | told         |
      | x       | 100   | changes x    |
      | x -y    | 100   | changes x -y |
      | x -y    | 101   | changes -y   |
      | x -y    | 102   | changes      |
      | x -y    | 99    | all x        |

  Scenario: Who is too far behind gets everything
    Given a listing at revision 100 with entries "x y"
    When 600 changes of "x" come
    Then who knows revision 100 is told all x y

  Scenario: A change reaches gateways that ask a peer
    Given a site with plain targets "a,b"
    And two gateways run that know one another
    When target "a" starts to drain
    And the operator publishes another version
    Then both gateways know that target "a" leaves and use that version
    And one of them watches the store and the other asks it

  Scenario Outline: The gateway that asks does without its peer
    Given a site with plain targets "a,b"
    And two gateways run that know one another
    When the one that watches <fails>
    And target "a" starts to drain
    Then the other knows that target "a" leaves
    And the other has watched the store by itself

    Examples:
      | fails                  |
      | is cut from the store  |
      | ends                   |

  Scenario Outline: A large configuration is read from the store by each gateway
    Given a site with plain targets "a,b"
    And two gateways run that know one another
    When the operator publishes a configuration with <routes> more routes
    Then both gateways use that version
    And the one that asks its peer had <calls> calls to the store

    Examples:
      | routes | calls |
      | 10     | no    |
      | 400    | some  |
