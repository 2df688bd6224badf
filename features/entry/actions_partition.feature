Feature: Entries that know different things never both run an action

  Scenario Outline: Entries with different lists run a caller's key once
    Given entry A whose list names <first> and entry B whose list names <second>
    When a caller's key is sent to A, then to B, then to A
    Then the halves' outcomes were "<outcomes>" and it ran <runs> times

    Examples:
      | first | second | outcomes                | runs |
      | A     | A B    | done done done          | 1    |
      | A B   | B      | done done done          | 1    |
      | A B   | A      | done done done          | 1    |
      | B     | A B    | unknown done done       | 1    |
      | -     | A B    | unknown done done       | 1    |

  Scenario: An entry that only another entry knows of is asked as well
    Given entries A, B and C whose lists name A C; B; A B C
    When a caller's key is sent to B, then to A
    Then the halves' outcomes were "done done" and it ran 1 times

  Scenario Outline: Both halves of a partition are at work and none runs what the other may run
    Given entry A whose list names A B and entry B whose list names A B
    And neither reaches the other
    When <what> is sent to A and to B at once, and again after the partition
    Then the halves' outcomes were "<outcomes>" and it ran <runs> times

    Examples:
      | what                | outcomes                  | runs |
      | a permit of A       | done unknown done done    | 1    |
      | a permit of B       | unknown done done done    | 1    |
      | a caller's key      | unknown unknown done done | 1    |
