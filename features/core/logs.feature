Feature: Logs
  Scenario Outline: An event is one line and holds no secret
    When an event is logged in the <format> format with a line break and a secret
    Then it is one line
    And it shows the field "team" and hides the secret

    Examples:
      | format   |
      | keyvalue |
      | json     |
