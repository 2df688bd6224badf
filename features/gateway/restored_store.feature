Feature: The gateway keeps its state when the store is restored from a copy

  # The store issues the revisions of the lost writes again. A gateway that
  # only looks at revisions skips what is written at those that it has seen.
  Scenario Outline: What is written at a revision that was issued before is applied
    Given a site with plain targets "a,b" whose store counts restores
    And the gateway runs
    When 5 writes are lost by a restore and the operator then <writes>
    Then within 5 seconds the gateway <does>

    Examples:
      | writes                | does                     |
      | takes the key away    | refuses the key          |
      | publishes a version   | uses that version        |
      | lists another target  | lists that target        |
      | evacuates zone-b      | evacuates zone-b         |

  Scenario: A restore is logged and shown
    Given a site with plain targets "a" whose store counts restores
    And the log of the gateway is kept
    And the gateway runs
    When the store loses all writes since a copy
    Then the gateway logs one restore, from era 0 to era 1
    And the state dump and the metrics show era 1

  Scenario: A lost target keeps its place for a moment and is then removed
    Given a site with plain targets "a" whose store counts restores
    And the gateway runs
    And the store has been reachable for a while
    When target "b" is listed and its entry is lost by a restore
    Then the gateway lists target "b" 1 second after it has read the store again
    And the gateway does not list target "b" after 4 seconds

  Scenario: A version that the store has lost stays in force
    Given a site with plain targets "a" whose store counts restores
    And the gateway runs
    When the operator publishes another version, which a restore loses
    Then the gateway in era 1 uses the version that was lost
    When a caller sends a request to route "once"
    Then the caller gets status 200 and "its answer"

  Scenario: A key whose revocation the store has lost stays revoked
    Given a site with plain targets "a" whose store counts restores
    And the gateway runs
    When the operator revokes the key, which a restore loses
    Then the gateway in era 1 uses the version that was lost
    When a caller sends a request to route "once"
    Then the caller gets status 401 and "no answer"

  Scenario: An evacuation that the store has lost stays until it is written again
    Given a site with plain targets "a,b" whose store counts restores
    And target "b" is in data centre "zone-b"
    And the gateway runs
    When the evacuation of "zone-b" is lost by a restore and written again 3 seconds later
    Then the gateway has evacuated "zone-b" without interruption for 5 seconds more

  Scenario: An evacuation that is not written again ends
    Given a site with plain targets "a,b" whose store counts restores
    And target "b" is in data centre "zone-b"
    And the gateway runs
    When the evacuation of "zone-b" is lost by a restore
    Then the evacuation of "zone-b" ends 6 to 8 seconds after the restore

  Scenario: A target that announced that it leaves gets nothing after a restore
    Given a site with plain targets "a,b" whose store counts restores
    And the gateway runs
    When target "a" announces that it leaves, which a restore loses
    And a caller sends a request to route "once" 6 times
    Then every caller got status 200
    And target "a" executed 0 requests

  Scenario: Two restores within a second
    Given a site with plain targets "a" whose store counts restores
    And the gateway runs
    When the store is restored twice, with a target lost and one listed between
    Then the gateway in era 2 lists the targets of the store after 4 seconds

  # The pages before the restore list entries that no longer exist.
  Scenario: A restore between two pages of a read
    Given a site with plain targets "a,b,c,d,e" whose store counts restores
    When the gateway starts and target "a" is lost by a restore between two pages
    Then the gateway in era 1 lists the targets of the store after 4 seconds

  Scenario: A response of a former era is discarded
    Given a site with plain targets "a" whose store counts restores
    And the gateway runs
    When the store is restored and then answers once more in the former era
    Then the gateway in era 1 has not applied what that answer listed

  Scenario Outline: A header that is no era is ignored
    Given a site with plain targets "a" whose store counts restores
    And the log of the gateway is kept
    And the gateway runs
    When the store names "<value>" as its era and a target is listed
    Then the gateway lists that target and has logged the value at most once

    Examples:
      | value                |
      | -1                   |
      | 1.5                  |
      | next                 |
      | 99999999999999999999 |

  # A peer of the former version leaves the era out, which reads as 0.
  Scenario Outline: An answer of a peer is used only if its era is not older
    Given a gateway that fetches from a peer at second 1000
    When a peer answers in era <answered> a gateway in era <known>
    Then the answer is <used>

    Examples:
      | answered            | known | used      |
      | 0                   | 0     | used      |
      | 0                   | 1     | discarded |
      | 1                   | 2     | discarded |
      | 2                   | 1     | used      |
      | 1000000000000000001 | 1     | discarded |

  Scenario: Gateways that share one watcher all learn of a restore
    Given a site with plain targets "a,b" whose store counts restores
    And two gateways run that know each other
    When 5 writes are lost by a restore and another target is listed
    Then both gateways are in era 1 and list that target

  Scenario: A gateway that was cut off during a restore catches up
    Given a site with plain targets "a,b" whose store counts restores
    And two gateways run that know each other
    When the watching gateway is cut off from the store
    And 5 writes are lost by a restore and another target is listed
    And the watching gateway reaches the store again
    Then both gateways are in era 1 and list that target
