Feature: One process's view of the other members

  Scenario Outline: Records of a member are ordered by incarnation, counter and state
    Given a membership that knows "b" at incarnation 10 counter 2 as <known>
    When a peer reports "b" at incarnation <incarnation> counter <counter> as <reported>
    Then the membership holds "b" as <state> at incarnation <held>

    Examples:
      | known   | incarnation | counter | reported | state   | held |
      | live    | 10          | 2       | suspect  | suspect | 10   |
      | live    | 10          | 1       | dead     | live    | 10   |
      | suspect | 10          | 2       | live     | suspect | 10   |
      | suspect | 10          | 3       | live     | live    | 10   |
      | dead    | 10          | 2       | suspect  | dead    | 10   |
      | dead    | 10          | 3       | live     | live    | 10   |
      | dead    | 11          | 0       | live     | live    | 11   |
      | live    | 9           | 9       | dead     | live    | 10   |
      | live    | 10          | 3       | leaving  | leaving | 10   |

  Scenario: A lower incarnation is accepted only in the answer to a probe
    Given a membership that knows "b" at incarnation 10 counter 2 as live
    When "b" sends a heartbeat at incarnation 9
    Then the membership holds "b" as live at incarnation 10
    When "b" answers a probe at incarnation 9
    Then the membership holds "b" as live at incarnation 9

  Scenario: A member that fails probes is suspect, then dead, and stays known as dead
    Given a membership that knows "b" at incarnation 10 counter 2 as live
    When probes of "b" fail and 4 seconds pass
    Then the membership holds "b" as suspect at incarnation 10
    When 30 seconds pass
    Then the membership holds "b" as dead at incarnation 10
    When 300 seconds pass
    Then the membership holds "b" as dead at incarnation 10

  Scenario: A process refutes a suspicion of itself with a higher counter
    Given a membership that knows "b" at incarnation 10 counter 2 as live
    When a peer reports the process itself as suspect
    Then the process reports itself live with a higher counter

  Scenario: A report on an earlier incarnation of the process is not refuted
    Given a membership that knows "b" at incarnation 10 counter 2 as live
    When a peer reports an earlier incarnation of the process as dead
    Then the process reports itself live with the same counter

  Scenario: After a pause of the process the view is not trusted until peers answer
    Given a membership with 9 live members
    When the process was paused
    Then the view is not trusted
    When 3 members answer probes
    Then the view is trusted

  Scenario Outline: Views grow with the logarithm of the fleet and cover every data centre
    When views are selected in a fleet of <fleet> members in 8 data centres
    Then each view holds at most <limit> members and covers every data centre
    And every member can be reached over the views from the first

    Examples:
      | fleet | limit |
      | 9     | 8     |
      | 100   | 34    |
      | 1200  | 48    |

  Scenario: A heartbeat to a member that is held as dead includes its record
    Given a membership that knows "b" at incarnation 10 counter 2 as dead
    Then a heartbeat to "b" reports it as dead

  Scenario: A gap of over one second between two checks counts as a pause
    When the checks for a pause are 0.9, 1.1 and 60 seconds apart
    Then 2 pauses are counted

  Scenario: A removed name changes the owners of its own keys only
    When the first 3 of 40 names are found for 50 keys and one name is removed
    Then only the keys that it owned have other owners
