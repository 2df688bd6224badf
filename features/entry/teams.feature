Feature: Who may call

  Scenario Outline: A key stands for the team that has its hash
    Given 1700 teams with a key each, and one with two keys
    Then the header "<header>" stands for <result>

    Examples:
      | header            | result      |
      | Bearer key-0      | team-0      |
      | Bearer key-1699   | team-1699   |
      | Bearer key-old    | rotated     |
      | Bearer key-new    | rotated     |
      | Bearer key-1700   | not_allowed |
      | Bearer key-       | not_allowed |
      | Bearer            | not_allowed |
      | Bearer KEY-0      | not_allowed |
      | Bearer é          | not_allowed |
      | none              | not_allowed |

  Scenario: The hash of a key is no key
    Given 1700 teams with a key each, and one with two keys
    Then the hash of a key stands for not_allowed

  Scenario: A key is found without looking at every team
    Given 1700 teams with a key each, and one with two keys
    Then a look-up compares the hashes of one team only
