Feature: Targets that answer before they have read the whole request

  # The kernel reports the reset of a connection to one call only. If that is
  # a write of the request, or a look at unread bytes, the next read returns the
  # end of the connection, which ends an answer that has no length.

  Scenario Outline: A part of an answer is not taken for a whole one after a reset
    Given a site with plain targets "a"
    And long requests are allowed
    And a target "b" with receive buffers of <buffer> that answers with <answer> and resets the connection after <seconds> s
    And the gateway runs
    When callers send 20 requests of <size> bytes to it on route "once"
    Then each caller gets status 502 and no part of the answer

    Examples:
      | answer                      | size    | buffer         | seconds |
      | no length                   | 0       | the usual size | 0.0     |
      | no length                   | 0       | the usual size | 0.4     |
      | no length                   | 60000   | the usual size | 0.0     |
      | no length                   | 60000   | 2048 bytes     | 0.4     |
      | no length                   | 300000  | 2048 bytes     | 0.0     |
      | no length                   | 300000  | 65536 bytes    | 0.05    |
      | no length                   | 300000  | 2048 bytes     | 0.4     |
      | no length                   | 4000000 | the usual size | 0.0     |
      | no length                   | 4000000 | 65536 bytes    | 0.05    |
      | no length                   | 4000000 | 2048 bytes     | 0.4     |
      | no length, but its close    | 300000  | 2048 bytes     | 0.05    |
      | no length, but its close    | 4000000 | 65536 bytes    | 0.0     |
      | no length, no body          | 300000  | 65536 bytes    | 0.4     |
      | no length, no body          | 4000000 | the usual size | 0.05    |
      | a length, half the body     | 4000000 | 2048 bytes     | 0.05    |
      | chunks without the last one | 4000000 | 2048 bytes     | 0.05    |

  Scenario Outline: An answer that came whole is served, whatever becomes of the request
    Given a site with plain targets "a"
    And long requests are allowed
    And a target "b" with receive buffers of <buffer> that answers with <answer> and <ending> after <seconds> s
    And the gateway runs
    When callers send 10 requests of <size> bytes to it on route "once"
    Then each caller gets status 200 and the whole answer

    Examples: its length or last chunk has come
      | answer                   | ending                | size    | buffer         | seconds |
      | a length                 | resets the connection | 0       | the usual size | 0.0     |
      | a length                 | resets the connection | 60000   | 2048 bytes     | 0.0     |
      | a length                 | resets the connection | 300000  | 2048 bytes     | 0.05    |
      | a length                 | resets the connection | 4000000 | the usual size | 0.0     |
      | a length                 | resets the connection | 4000000 | 2048 bytes     | 0.4     |
      | chunks                   | resets the connection | 300000  | 65536 bytes    | 0.0     |
      | chunks                   | resets the connection | 4000000 | 2048 bytes     | 0.4     |
      | a length                 | reads the rest        | 4000000 | 65536 bytes    | 1.0     |
      | chunks                   | reads the rest        | 4000000 | 65536 bytes    | 0.4     |
      | chunks                   | reads nothing         | 4000000 | 65536 bytes    | 2.5     |

    Examples: the target has shut its side down
      | answer                   | ending                                       | size    | buffer         | seconds |
      | no length                | shuts its side down and resets it            | 0       | the usual size | 0.0     |
      | no length                | shuts its side down and resets it            | 60000   | 2048 bytes     | 0.05    |
      | no length                | shuts its side down and resets it            | 300000  | 2048 bytes     | 0.0     |
      | no length                | shuts its side down and resets it            | 4000000 | the usual size | 0.0     |
      | no length                | shuts its side down and resets it            | 4000000 | 2048 bytes     | 0.4     |
      | no length, but its close | shuts its side down and resets it            | 4000000 | 65536 bytes    | 0.05    |
      | no length, no body       | shuts its side down and resets it            | 4000000 | 2048 bytes     | 0.0     |
      | no length                | shuts its side down and closes, reading none | 300000  | 65536 bytes    | 0.4     |
      | no length                | shuts its side down and closes, reading none | 4000000 | 2048 bytes     | 2.5     |
      | no length                | shuts its side down and reads the rest       | 4000000 | 65536 bytes    | 0.4     |

  Scenario Outline: A stream is whole only if its connection was not reset
    Given a site with plain targets "a"
    And long requests are allowed
    And a target "b" with receive buffers of <buffer> that answers with events without a length and <ending> after <seconds> s
    And the gateway runs
    When callers send 10 requests of <size> bytes to it on route "stream"
    Then each caller gets events 1 to 8 <end>

    Examples:
      | ending                                 | size    | buffer         | seconds | end            |
      | resets the connection                  | 0       | the usual size | 0.4     | without an end |
      | resets the connection                  | 60000   | 2048 bytes     | 0.4     | without an end |
      | resets the connection                  | 300000  | 2048 bytes     | 0.4     | without an end |
      | resets the connection                  | 4000000 | 2048 bytes     | 0.4     | without an end |
      | shuts its side down and resets it      | 60000   | 2048 bytes     | 0.4     | and the end    |
      | shuts its side down and resets it      | 4000000 | 2048 bytes     | 0.4     | and the end    |
      | shuts its side down and reads the rest | 4000000 | 65536 bytes    | 0.4     | and the end    |

  Scenario Outline: A target that takes no byte of the request for long has not ended its answer
    # The kernel then gives the connection up.
    Given a site with plain targets "a"
    And long requests are allowed
    And a target "b" with receive buffers of 2048 bytes that answers with <answer> and reads nothing after 6.0 s
    And the gateway runs
    When callers send 3 requests of 4000000 bytes to it on route "<route>"
    Then each caller gets <what>

    Examples:
      | route  | answer                  | what                                  |
      | once   | no length               | status 502 and no part of the answer  |
      | stream | events without a length | events 1 to 8 without an end          |

  Scenario Outline: A look at unread bytes hides no reset from the reader of an answer
    Given a connection of a gateway that got a part of an answer without a length before the target <ending>
    When the gateway looks <times> times whether bytes are unread
    Then the rest of the answer is read as <result>

    Examples:
      | ending                            | times | result             |
      | resets the connection             | 0     | a broken reply     |
      | resets the connection             | 1     | a broken reply     |
      | resets the connection             | 2     | a broken reply     |
      | shuts its side down and resets it | 0     | the end of a reply |
      | shuts its side down and resets it | 2     | the end of a reply |

  Scenario: A connection that the kernel has given up is not merely silent
    # Reading on would return the end of the connection.
    Given a connection of a gateway whose target takes no byte of the request
    When the gateway reads on until the answer ends
    Then the rest of the answer is read as a broken reply
