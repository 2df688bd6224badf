Feature: Frames between entry processes

  Scenario Outline: A bad frame is refused with a typed error
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
      | older than the window     | replayed_frame |
      | for another process       | replayed_frame |

  Scenario: A frame of a newer schema is read
    When a peer frame is of schema version 9
    Then the peer frame is accepted

  Scenario: Secrets are rotated
    Given a codec that signs with the second of two secrets
    Then its frames are read under either list that holds the second

  Scenario: No sequence of bytes raises anything but a typed error
    When 300 random byte strings and 300 signed ones are decoded as heartbeats
    Then each one was read or refused with a typed error
