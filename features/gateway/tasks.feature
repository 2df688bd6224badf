Feature: Supervision of tasks that run as long as the process

  Scenario: A failed task is restarted
    Given a task that fails twice before it runs on, and a task that never fails
    When both tasks are supervised for 2 seconds
    Then the first task was started 3 times and the second once
    And both tasks ran until the supervision ended and no longer
