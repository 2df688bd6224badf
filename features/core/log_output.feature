Feature: Logs that are bounded and never block

  Scenario: A burst beyond the rate is dropped and told
    Given a bounded log output to a pipe
    When 1500 lines are logged at once
    And a second passes and one more line is logged
    Then 1001 lines were written and 500 dropped
    And the last log line tells that 500 were dropped before it

  Scenario: A warning passes the rate
    Given a bounded log output to a pipe
    When 1500 lines are logged at once
    And a warning is logged
    Then the last log line is the warning

  Scenario: A reader that never reads does not block the process
    Given a bounded log output to a pipe that nobody reads
    When 20000 lines are logged over a long time
    Then the process has gone on and most lines were dropped

  Scenario: A line that is too long is cut
    Given a bounded log output to a pipe
    When a line of 9000 bytes is logged
    Then the last log line has 4096 bytes

  Scenario: A reader that is gone does not end the process
    Given a bounded log output to a pipe
    When the reader of the log goes away
    And 10 lines are logged at once
    Then 0 lines were written and 10 dropped
