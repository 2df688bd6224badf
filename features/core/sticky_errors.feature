Feature: The error that ended a connection is reported at each read

  # The kernel reports it to one call. A reader that comes later takes the end
  # of the connection for that of an answer.

  Scenario Outline: A <kind> socket whose peer <ended> is read to <end> after <calls>
    Given a <kind> socket whose peer sent some bytes and <ended>
    When the connection meets <calls>
    Then the bytes are read, and then <end>, each time

    Examples: the connection was reset
      | kind      | ended                              | calls                 | end     |
      | plain     | reset the connection               | no other call         | a reset |
      | plain     | reset the connection               | a write               | a reset |
      | plain     | reset the connection               | a long write          | a reset |
      | plain     | reset the connection               | a write, then another | a reset |
      | plain     | reset the connection               | a look                | a reset |
      | switching | reset the connection               | no other call         | a reset |
      | switching | reset the connection               | a write               | a reset |
      | switching | reset the connection               | a long write          | a reset |
      | switching | reset the connection               | a look                | a reset |

    Examples: the peer had shut its side down
      | kind      | ended                              | calls                 | end     |
      | plain     | shut its side down                 | a write               | its end |
      | plain     | shut its side down                 | a look                | its end |
      | plain     | shut its side down, then reset it  | no other call         | its end |
      | plain     | shut its side down, then reset it  | a write               | its end |
      | plain     | shut its side down, then reset it  | a long write          | its end |
      | plain     | shut its side down, then reset it  | a write, then another | its end |
      | plain     | shut its side down, then reset it  | a look                | its end |
      | switching | shut its side down, then reset it  | a write, then another | its end |
      | switching | shut its side down, then reset it  | a look                | its end |

  Scenario Outline: An error that ends no connection is not reported again
    Given a plain socket whose peer has not ended
    When the connection meets <calls>
    And its peer sends some bytes and shuts its side down
    Then the bytes are read, and then its end, each time

    Examples:
      | calls                       |
      | a read that has timed out   |
      | a look that finds nothing   |
      | a write that has timed out  |

  Scenario Outline: A client of an entry tells a part of an answer from a whole one
    Given a server that answers with <answer> and <ending> after <seconds> s
    When an entry's client uploads to a service at it within 3.0 seconds
    Then the client's call ended with <result>

    Examples: answers that end with their connection
      | answer             | ending                                       | seconds | result     |
      | no length          | resets the connection                        | 0.0     | CutError   |
      | no length          | resets the connection                        | 0.4     | CutError   |
      | no length, no body | resets the connection                        | 0.4     | CutError   |
      | no length          | shuts its side down and resets it            | 0.0     | status 200 |
      | no length          | shuts its side down and resets it            | 0.4     | status 200 |
      | no length, no body | shuts its side down and resets it            | 0.4     | status 200 |
      | no length          | shuts its side down and closes, reading none | 0.4     | status 200 |
      | no length          | shuts its side down and reads the rest       | 0.4     | status 200 |

    Examples: answers that have an end of their own
      | answer                      | ending                | seconds | result     |
      | a length                    | resets the connection | 0.0     | status 200 |
      | a length                    | resets the connection | 0.4     | status 200 |
      | a length                    | reads the rest        | 0.4     | status 200 |
      | chunks                      | resets the connection | 0.4     | status 200 |
      | a length, half the body     | resets the connection | 0.4     | CutError   |
      | chunks without the last one | resets the connection | 0.4     | CutError   |
