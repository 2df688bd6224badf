# The gateway does not control its callers. Each kind of client here made a
# gateway exceed the memory or the descriptors of its machine, which ends the
# process and with it the requests of all other callers.
@alone
Feature: Misbehaving callers

  Scenario Outline: <count> clients send <load> to <path>
    Given a gateway process with 88 MB of memory and 256 descriptors
    When <count> clients send <load> to <path>
    Then an ordinary request and a health check are answered
    And the process has stayed within its memory and descriptors

    Examples: Bodies
      | count | load                                  | path          |
      | 40    | a body of 4 MiB without its last byte | a route       |
      | 40    | a body of 4 MiB without its last byte | no route      |
      | 40    | a body of 4 MiB without its last byte | the readiness |
      | 40    | a whole body of 4 MiB                 | a route       |
      | 40    | a whole body of 4 MiB                 | no route      |
      | 40    | a whole body of 4 MiB                 | the readiness |
      | 40    | a chunked body without its last chunk | a route       |
      | 40    | a chunked body without its last chunk | no route      |
      | 40    | a chunked body without its last chunk | the readiness |
      | 40    | a body of 4 MiB in small pieces       | a route       |
      | 40    | a body of 4 MiB in small pieces       | no route      |
      | 40    | a body of 4 MiB in small pieces       | the readiness |
      | 40    | a body in chunks of one byte          | a route       |
      | 40    | a body in chunks of one byte          | no route      |
      | 40    | a body in chunks of one byte          | the readiness |
      | 40    | 4 MiB of a body declared as 400 MB    | a route       |
      | 40    | 4 MiB of a body declared as 400 MB    | no route      |
      | 40    | 4 MiB of a body declared as 400 MB    | the readiness |

    Examples: Heads, and requests sent ahead
      | count | load                                  | path          |
      | 200   | 3000 fields and a body short of a byte | a route       |
      | 200   | 3000 fields and a body short of a byte | no route      |
      | 200   | 3000 fields and a body short of a byte | the readiness |
      | 60    | 4000 requests without reading         | a route       |
      | 60    | 4000 requests without reading         | no route      |
      | 60    | 4000 requests without reading         | the readiness |

    Examples: Connections
      | count | load                   | path          |
      | 400   | half a head            | a route       |
      | 400   | half a head            | no route      |
      | 400   | half a head            | the readiness |
      | 400   | half a body            | a route       |
      | 400   | half a body            | no route      |
      | 400   | half a body            | the readiness |
      | 400   | nothing                | a route       |
      | 400   | nothing                | the readiness |
      | 400   | nothing                | the peers     |
      | 40    | all but a byte of a frame | the peers  |

    Examples: Readers
      | count | load                                | path    |
      | 40    | a request for 2 MB without reading  | a route |
      | 40    | a request for 2 MB and read by byte | a route |
