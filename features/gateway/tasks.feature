Feature: Tasks that run as long as the process

  Scenario: A task that fails is started again
    Given a task that fails twice and then goes on, and one that goes on
    When both are kept for 2 seconds
    Then the first was started 3 times and the second once
    And both ran until the end and not longer
