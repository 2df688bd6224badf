Feature: Configuration in force on real entries

  Scenario Outline: An accepted change reaches every entry and stays
    Given 4 real entries with revision 1 in force
    When an entry <fault> and revision 2 is published
    And the fault ends
    Then all entries hold revision 2 and never went back

    Examples:
      | fault                                    |
      | works as usual                           |
      | cannot reach the service or the list     |
      | is served an older revision              |
      | is paused                                |
      | is killed and started again              |
      | starts while the service is down         |

  Scenario: Two operators race and the later publication is refused everywhere
    Given 4 real entries with revision 1 in force
    When revision 2 and then revision 3, both based on 1, are published
    Then all entries hold revision 2 and say why revision 3 was refused
    When an entry is added
    Then all entries hold revision 2 and say why revision 3 was refused

  Scenario: A broken set is refused with its reason and the last good one stays
    Given 4 real entries with revision 1 in force
    When a set that names a missing model is published
    Then a watching entry says that the model is missing
    And all entries hold revision 1 and never went back

  Scenario: A set over a megabyte comes into force as one
    Given 4 real entries with revision 1 in force
    When a set of 2500000 bytes is published in parts
    Then all entries hold revision 2 and never went back

  Scenario: An entry without any configuration is not ready and says why
    Given a real entry whose service is down and that knows no peers
    Then it is not ready and says that the service gave none

  Scenario Outline: A leaving target gets no new work from any entry
    Given 3 real entries and two engines
    When one engine leaves by <sign>
    Then no entry gives it new work

    Examples:
      | sign                                  |
      | the list                              |
      | its own report while the list is down |
      | the objects                           |
