Feature: Configuration in force on entry processes

  Scenario Outline: A published revision comes into force on every entry despite a fault
    Given 4 entry processes with revision 1 in force
    When an entry <fault> and revision 2 is published
    And the fault ends
    Then revision 2 is in force on all entries and none returned to an older one

    Examples:
      | fault                                    |
      | works as usual                           |
      | cannot reach the service or the list     |
      | is served an older revision              |
      | is paused                                |
      | is killed and started again              |
      | starts while the service is down         |

  Scenario: Of two revisions made from the same one every entry refuses the later
    Given 4 entry processes with revision 1 in force
    When revision 2 and then revision 3, both based on 1, are published
    Then revision 2 is in force on all entries and they show why revision 3 was refused
    When an entry is added
    Then revision 2 is in force on all entries and they show why revision 3 was refused

  Scenario: An invalid set is refused with a reason and the set in force stays
    Given 4 entry processes with revision 1 in force
    When a set that names a missing model is published
    Then a watcher reports that the model is missing
    And revision 1 is in force on all entries and none returned to an older one

  Scenario: A set of over 1 MB that is published in parts comes into force as a whole
    Given 4 entry processes with revision 1 in force
    When a set of 2500000 bytes is published in parts
    Then revision 2 is in force on all entries and none returned to an older one

  Scenario: An entry without a configuration is not ready and reports why
    Given an entry process with no peers whose configuration service is down
    Then it is not ready and reports that the service gave no configuration

  Scenario Outline: No entry sends new requests to a leaving target
    Given 3 entry processes and two engines
    When one engine is marked as leaving by <sign>
    Then no entry sends it new requests

    Examples:
      | sign                                  |
      | the list                              |
      | its own report while the list is down |
      | the objects                           |
