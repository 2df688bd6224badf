Feature: Entries with different instance lists never both run an action

  Scenario Outline: Entries with different instance lists run the action of a key once
    Given entry A whose list names <first> and entry B whose list names <second>
    When an action under a caller's key is sent to A, then to B, then to A
    Then the outcomes through A and B are "<outcomes>" and the action ran <runs> times

    Examples:
      | first | second | outcomes                | runs |
      | A     | A B    | done done done          | 1    |
      | A B   | B      | done done done          | 1    |
      | A B   | A      | done done done          | 1    |
      | B     | A B    | unknown done done       | 1    |
      | -     | A B    | unknown done done       | 1    |

  Scenario: An entry that only another entry lists is asked for its claim as well
    Given entries A, B and C whose lists name A C; B; A B C
    When an action under a caller's key is sent to B, then to A
    Then the outcomes through A and B are "done done" and the action ran 1 times

  Scenario Outline: In a partition neither side runs an action that the other may run
    Given entry A whose list names A B and entry B whose list names A B
    And A and B cannot reach each other
    When an action under <what> is sent to A and to B at once, and again after the partition
    Then the outcomes through A and B are "<outcomes>" and the action ran <runs> times

    Examples:
      | what                | outcomes                  | runs |
      | a permit of A       | done unknown done done    | 1    |
      | a permit of B       | unknown done done done    | 1    |
      | a caller's key      | unknown unknown done done | 1    |
