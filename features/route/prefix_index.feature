Feature: Index of prompt prefixes
  Scenario Outline: Cache events of a target update the prefix index
    Given a router's prefix index
    When the events "<events>" of a target reach the router's prefix index
    Then the router's prefix index expects <held> blocks of prefix 1, 2, 3

    Examples:
      | events          | held |
      | 1+1 2+2 3+3     | 3.0  |
      | 1+1 2+2 3+3 4-3 | 2.0  |
      | 1+1 2+2 4+9     | 1.0  |
      | 1+1 3+2         | 2.0  |
      | 2+1 1-1         | 1.0  |
      | 1+9             | 0.0  |

  Scenario: The size of the prefix index is bounded
    Given a router's prefix index
    When 30 prefixes are added to the router's prefix index
    Then the router's prefix index has 10 prefixes
