Feature: Engines and services that send without end to an entry

  Scenario Outline: A call to a server that sends without end fails in time, and other tasks run meanwhile
    Given a server that sends <bytes> until its connection closes
    When an entry's client <calls> it with a time limit of <limit> seconds
    Then the client's call ends within <end> seconds with <error>
    And no other task waited for over a second meanwhile

    Examples:
      | calls                   | bytes                        | limit | end  | error       |
      | opens a stream on       | continue heads               | 1.0   | 3.0  | EngineError |
      | opens a stream on       | one byte of a head at a time | 1.0   | 3.0  | SilentError |
      | opens a stream on       | header lines                 | 1.0   | 3.0  | EngineError |
      | reads events of         | comments in small chunks     | 1.0   | 3.0  | SilentError |
      | reads events of         | small chunks                 | 15.0  | 17.0 | BrokenError |
      | reads events of         | comments                     | 1.0   | 3.0  | SilentError |
      | reads events of         | a body                       | 1.0   | 3.0  | BrokenError |
      | reads the load of       | continue heads               | 5.0   | 10.0 | EngineError |
      | reads the load of       | one byte of a head at a time | 5.0   | 10.0 | EngineError |
      | reads the load of       | a body                       | 5.0   | 10.0 | EngineError |
      | reads the load of       | small chunks                 | 5.0   | 10.0 | EngineError |
      | reads the load of       | deeply nested JSON           | 5.0   | 10.0 | EngineError |
      | sends an action to      | continue heads               | 1.0   | 3.0  | unknown     |
      | sends an action to      | one byte of a head at a time | 1.0   | 3.0  | unknown     |
      | sends an action to      | small chunks                 | 1.0   | 3.0  | unknown     |
      | sends an action to      | a body                       | 1.0   | 3.0  | done        |
