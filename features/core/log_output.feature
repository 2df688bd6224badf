Feature: Rate-limited, non-blocking log output

  Scenario: Lines above the burst limit are dropped and the drops are reported
    Given a rate-limited log output to a pipe
    When 1500 lines are logged at once
    And one more line is logged 1 second later
    Then 1001 lines were written and 500 dropped
    And the last log line reports 500 dropped lines before it

  Scenario: Warnings are exempt from the rate limit
    Given a rate-limited log output to a pipe
    When 1500 lines are logged at once
    And a warning is logged
    Then the last log line is the warning

  Scenario: A pipe that is never read does not block the process
    Given a rate-limited log output to a pipe that is never read
    When 20000 lines are logged 1 second apart
    Then more than 15000 lines were dropped

  Scenario: A line that is too long is truncated
    Given a rate-limited log output to a pipe
    When a line of 9000 bytes is logged
    Then the last log line has 4096 bytes

  Scenario: A closed reader does not end the process
    Given a rate-limited log output to a pipe
    When the reader of the log closes the pipe
    And 10 lines are logged at once
    Then 0 lines were written and 10 dropped
