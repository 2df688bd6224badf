Feature: The pages keep to the program

  Scenario: Each metric is explained to operators
    Then the page of alarms names every metric in the code

  Scenario: Each command is named in the README
    Then the README names every command

  Scenario: Each link between the pages leads somewhere
    Then no page has a link to a file that is not there
