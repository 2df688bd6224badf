Feature: A store that was restored from a copy

  # Revisions go back and are issued again at a restore. Compared by revision
  # alone, older contents would count as newer.
  Scenario Outline: Views are ordered by era first
    When the known era is <known> and a response names <named>
    Then the response is of an era that is <order>

    Examples:
      | known | named | order |
      | 0     | none  | same  |
      | 3     | none  | same  |
      | 3     | 3     | same  |
      | 3     | 4     | newer |
      | 3     | 9     | newer |
      | 3     | 2     | older |
      | 3     | 0     | older |

  # A peer that takes changes of another era for changes of its own skips or
  # repeats some of them.
  Scenario Outline: A gateway answers a peer only with a view that the peer can order
    When a peer in era <asked> that <reads> eras asks a gateway in era <own>
    Then the asking peer gets <answer>

    Examples:
      | own  | asked | reads         | answer   |
      | none | 0     | reads         | no view  |
      | 0    | 0     | reads         | the view |
      | 0    | 0     | does not read | the view |
      | 1    | 0     | reads         | the view |
      | 1    | 0     | does not read | no view  |
      | 1    | 2     | reads         | no view  |
      | 2    | 2     | reads         | the view |

  Scenario: A peer in another era receives all entries
    Given a listing of era 2 at revision 100 with entries "x y"
    When entry "x" of it changes 3 times
    Then a peer at revision 101 of era 1 receives all x y
    And a peer at revision 101 of era 2 receives changes x x

  Scenario Outline: The store's header is read strictly
    When a response of the store has era headers "<values>"
    Then the era of the response is <era>

    Examples:
      | values               | era                 |
      |                      | absent              |
      | 0                    | 0                   |
      | 12                   | 12                  |
      | 1000000000000000000  | 1000000000000000000 |
      | 1000000000000000001  | ignored             |
      | -1                   | ignored             |
      | +1                   | ignored             |
      | 1.0                  | ignored             |
      | 1e3                  | ignored             |
      | one                  | ignored             |
      | 2;3                  | ignored             |
      | 2;2                  | 2                   |
      | ²                    | ignored             |

  # A lost evacuation would send requests into a data centre that is switched
  # off, until the operator has written it again.
  Scenario Outline: An evacuation outlives a restore by 6 seconds
    Given data centre "z" is evacuated and the store is restored at second 0
    When the restored directory shows "<event>" at second <at>
    Then at second <second> the evacuation <state>

    Examples:
      | event                      | at  | second | state   |
      | it is not listed           | 1   | 5.9    | stays   |
      | it is not listed           | 1   | 6.1    | is over |
      | it is listed               | 3   | 60     | stays   |
      | its end is written         | 2   | 2      | is over |
      | the store is restored anew | 3   | 8.9    | stays   |
      | the store is restored anew | 3   | 9.1    | is over |

  # The copy of the store lists the target as it was before it announced that
  # it leaves. Requests that are sent to it then are lost with it.
  Scenario Outline: An older entry does not cancel an announcement
    Given a target of start 7 announced with sequence 5 that it leaves
    When it is listed as ready with start <born> and sequence <sequence>
    Then the target is listed as <state>

    Examples:
      | born | sequence | state   |
      | 7    | 4        | leaving |
      | 7    | 5        | ready   |
      | 7    | 6        | ready   |
      | 8    | 1        | ready   |

  Scenario: An announcement outlives the target's entry
    Given a target of start 7 announced with sequence 5 that it leaves
    When its entry is removed
    And it is listed as ready with start 7 and sequence 4
    Then the target is listed as leaving

  Scenario: A store without eras is followed as before
    Given a target of a store without eras announced with sequence 5 that it leaves
    When it is listed as ready with start 7 and sequence 4
    Then the target is listed as ready
