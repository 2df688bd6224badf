Feature: Teams are authenticated by their API keys

  Scenario Outline: A key authenticates the team that has its hash
    Given 1700 teams with a key each, and one with two keys
    Then the Authorization header "<header>" gives <result>

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

  Scenario: The hash of a key is not accepted as a key
    Given 1700 teams with a key each, and one with two keys
    Then the hash of a key, sent as a key, gives not_allowed

  Scenario: A key is looked up without comparing the hashes of every team
    Given 1700 teams with a key each, and one with two keys
    Then a look-up compares the hashes of one team only
