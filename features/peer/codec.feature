Feature: Frames between entry processes

  Scenario Outline: An invalid frame is refused with an error code
    When a peer frame is <fault>
    Then the peer frame is refused as "<code>"

    Examples:
      | fault                     | code           |
      | empty                     | bad_frame      |
      | truncated                 | bad_frame      |
      | oversized                 | bad_frame      |
      | signed by another secret  | bad_frame      |
      | changed in one bit        | bad_frame      |
      | of schema version 0       | bad_frame      |
      | received twice            | replayed_frame |
      | below the replay window   | replayed_frame |
      | for another process       | replayed_frame |

  Scenario: A frame of a newer schema version is accepted
    When a peer frame is of schema version 9
    Then the peer frame is accepted

  Scenario: Frames stay readable while the shared secrets are rotated
    Given a codec that signs with the second of two secrets
    Then its frames are read by every codec that knows the second secret

  Scenario: Random bytes never raise an error without a code
    When 300 random byte strings and 300 signed ones are decoded as heartbeats
    Then each one was decoded or refused with an error code
