Feature: Reading the bodies of callers' requests

  Scenario Outline: A body of <size> bytes for an action is not spooled to disk
    When an action's body of <size> bytes is read while no temporary file can be created
    Then the body of the action has <size> bytes

    Examples:
      | size    |
      | 10      |
      | 102401  |
      | 3145728 |

  Scenario Outline: An action's body that <fault> is refused
    When an action's body that <fault> is read
    Then reading the body fails with "<code>"

    Examples:
      | fault                           | code      |
      | is over the limit               | too_large |
      | ends before its declared length | truncated |
