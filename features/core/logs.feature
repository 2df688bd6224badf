Feature: Structured logging
  Scenario Outline: An event is logged as one line without secrets
    When an event is logged in the <format> format with a line break and a secret
    Then it is one line
    And it shows the field "team" and hides the secret

    Examples:
      | format   |
      | keyvalue |
      | json     |

  Scenario Outline: No text splits an event into several lines
    Then 300 random events in the <format> format are one line each

    Examples:
      | format   |
      | keyvalue |
      | json     |

  Scenario Outline: Secrets are redacted in every place of an event
    Then an event in the <format> format hides the secret in <where>

    Examples:
      | format   | where                 |
      | keyvalue | a field named key     |
      | json     | a field named key     |
      | keyvalue | a nested field        |
      | json     | a nested field        |
      | keyvalue | a header in a text    |
      | json     | a header in a text    |
      | keyvalue | a team key in a text  |
      | json     | a team key in a text  |
      | keyvalue | an exception          |
      | json     | an exception          |
