# The bounds of a gateway on what callers send hold for an entry too: bodies
# and connections that stop short of their end used up its memory or its
# descriptors, and its other callers lost their requests with it.
@alone
Feature: Misbehaving callers of an entry

  Scenario Outline: <count> clients send <load> to <path>
    Given an entry process with its default memory and descriptors
    When <count> clients of the entry send <load> to <path>
    Then an ordinary request to the entry is answered
    And the process has stayed within 150 MB and 1024 descriptors

    Examples: Bodies
      | count | load                                  | path        |
      | 60    | a body of 4 MiB without its last byte | a model     |
      | 60    | a body of 4 MiB without its last byte | a service   |
      | 60    | a body of 4 MiB without its last byte | no route    |
      | 60    | a whole body of 4 MiB                 | a model     |
      | 60    | a whole body of 4 MiB                 | a service   |
      | 60    | a chunked body without its last chunk | a service   |

  Scenario Outline: <count> connections with <load> leave descriptors to others
    Given an entry process with 256 descriptors
    When <count> clients of the entry send <load> to <path>
    Then an ordinary request to the entry is answered
    And the process has stayed within 150 MB and 256 descriptors

    Examples: Connections
      | count | load        | path               |
      | 400   | half a head | a service          |
      | 400   | half a body | a service          |
      | 400   | nothing     | a service          |
      | 400   | nothing     | the administration |
