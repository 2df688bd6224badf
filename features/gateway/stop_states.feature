Feature: A stop in each state that a request can be in

  # At the end of its grace a process dropped what it had read in part or not
  # at all, and reset connections on which the caller was still sending.
  Scenario Outline: A request that is <state> when the process exits
    Given a gateway process with a grace of 4 seconds that serves a long stream
    And a caller with a request that is to be <state>
    When the gateway process is told to stop
    And the caller brings its request into that state
    Then the caller gets <answer>
    And its request reached a target <sends> times
    And the gateway process has ended by itself within its grace

    Examples: not sent on
      | state                       | answer                | sends |
      | sent as the process closes  | a last response 503   | 0    |
      | half a head                 | a last response 503   | 0    |
      | half a body                 | a last response 503   | 0    |
      | completed late              | a last response 200   | 1    |
      | waiting for room            | a last response 503   | 0    |

    Examples: sent on
      | state                       | answer                | sends |
      | without a reply             | a last response 504   | 1    |
      | replied to by a head alone  | a last response 504   | 2    |
      | a stream in the middle      | a stream without end  | 1    |
      | answered, read slowly       | a last response 200   | 1    |
      | answered, sending on        | a last response 200   | 1    |

  Scenario: A connection on which a stream has ended during a stop answers the next request
    Given a gateway process with a grace of 4 seconds that serves a long stream
    And a caller with a request that is to be a stream that ends
    When the caller brings its request into that state
    And the gateway process is told to stop
    Then the caller gets the whole stream
    And the next request on its connection gets a last response 503

  Scenario: Requests sent ahead during a stop are all answered
    Given a gateway process with a grace of 4 seconds that serves a long stream
    And a caller with a request that is to be sent ahead
    When the gateway process is told to stop
    And the caller brings its request into that state
    Then the caller gets two responses 200, of which the second is the last

  Scenario: Bytes that come before a response during a stop get one of their own
    Given a gateway process with a grace of 4 seconds that serves a long stream
    And a caller with a request that is to be followed by bytes that are no request
    When the gateway process is told to stop
    And the caller brings its request into that state
    Then the caller gets a response 200 and then a last response 408
    And its request reached a target 1 times
    And the gateway process has ended by itself within its grace
