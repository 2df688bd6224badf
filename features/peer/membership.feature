Feature: What one process believes of the others

  Scenario Outline: Statements about a member are ordered
    Given a membership that knows "b" at incarnation 10 counter 2 as <known>
    When a peer states "b" at incarnation <incarnation> counter <counter> as <said>
    Then it believes that "b" is <state> at incarnation <believed>

    Examples:
      | known   | incarnation | counter | said    | state   | believed |
      | live    | 10          | 2       | suspect | suspect | 10       |
      | live    | 10          | 1       | dead    | live    | 10       |
      | suspect | 10          | 2       | live    | suspect | 10       |
      | suspect | 10          | 3       | live    | live    | 10       |
      | dead    | 10          | 2       | suspect | dead    | 10       |
      | dead    | 10          | 3       | live    | live    | 10       |
      | dead    | 11          | 0       | live    | live    | 11       |
      | live    | 9           | 9       | dead    | live    | 10       |
      | live    | 10          | 3       | leaving | leaving | 10       |

  Scenario: A process of a lower number is believed only once it answers a probe
    Given a membership that knows "b" at incarnation 10 counter 2 as live
    When "b" sends a heartbeat at incarnation 9
    Then it believes that "b" is live at incarnation 10
    When "b" answers a probe at incarnation 9
    Then it believes that "b" is live at incarnation 9

  Scenario: A member is suspected before it is dead, and stays listed as dead
    Given a membership that knows "b" at incarnation 10 counter 2 as live
    When probes of "b" fail and 4 seconds pass
    Then it believes that "b" is suspect at incarnation 10
    When 30 seconds pass
    Then it believes that "b" is dead at incarnation 10
    When 300 seconds pass
    Then it believes that "b" is dead at incarnation 10

  Scenario: A process refutes what others say of it
    Given a membership that knows "b" at incarnation 10 counter 2 as live
    When a peer says that the process itself is suspect
    Then the process states that it is live with a higher counter

  Scenario: A process that hears of its own old incarnation keeps its counter
    Given a membership that knows "b" at incarnation 10 counter 2 as live
    When a peer says that an earlier incarnation of the process is dead
    Then the process states that it is live with the same counter

  Scenario: After an own pause the view is distrusted until peers answered
    Given a membership of 9 live members
    When the process was paused
    Then the view is not trusted
    When 3 members answer probes
    Then the view is trusted

  Scenario Outline: Views grow slowly and hold every place
    When views are chosen in a fleet of <fleet> members in 8 places
    Then each view holds at most <limit> members and every place
    And every member is reached over the views from any other

    Examples:
      | fleet | limit |
      | 9     | 8     |
      | 100   | 34    |
      | 1200  | 48    |

  Scenario: The sample tells the receiver what is believed of it
    Given a membership that knows "b" at incarnation 10 counter 2 as dead
    Then a heartbeat to "b" says that it is dead

  Scenario: Any gap between two ticks counts as a pause
    When the clock stands still for 0.9, 1.1 and 60 seconds between ticks
    Then 2 pauses are counted

  Scenario: Names are ranked by rendezvous hashing
    When 3 of 40 names are ranked for 50 keys and one name leaves
    Then only the keys that it owned have another owner
