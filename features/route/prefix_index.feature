Feature: Index of prompt prefixes
  Scenario Outline: A router's prefix index follows cache events
    Given a router prefix index
    When the router prefix index hears "<events>" of a target
    Then the router prefix index counts <held> of prefix 1, 2, 3

    Examples:
      | events          | held |
      | 1+1 2+2 3+3     | 3.0  |
      | 1+1 2+2 3+3 4-3 | 2.0  |
      | 1+1 2+2 4+9     | 1.0  |
      | 1+1 3+2         | 2.0  |
      | 2+1 1-1         | 1.0  |
      | 1+9             | 0.0  |

  Scenario: A router's prefix index is bounded
    Given a router prefix index
    When the router prefix index notes 30 prefixes
    Then the router prefix index holds 10 prefixes
