Feature: Decisions on the software versions of streams, without a network

  Scenario Outline: Only a known and equal version may carry on a stream
    Then a stream that <began> may be carried on by version "<version>": <may>

    Examples: versions have no order, and unknown ones equal nothing
      | began            | version | may |
      | has no event yet | v1      | yes |
      | has no event yet | unknown | yes |
      | v1 began         | v1      | yes |
      | v1 began         | v2      | no  |
      | v2 began         | v1      | no  |
      | v1 began         | unknown | no  |
      | unknown began    | v1      | no  |
      | unknown began    | unknown | no  |

  Scenario Outline: The record of a stream lasts while its caller may come
    Given no recorded stream
    When the streams "<records>" are recorded
    Then at second <second> stream "s" is known as "<known>"

    Examples: stream=version@second; two versions of one stream tell none
      | records           | second | known    |
      | s=v1@0            | 0      | v1       |
      | s=v1@0            | 119    | v1       |
      | s=v1@0            | 121    | not      |
      | s=v1@0 s=v1@100   | 200    | v1       |
      | s=v1@0 s=v2@1     | 2      | unknown  |
      | s=v1@0 s=v2@1 s=v1@2 | 3   | unknown  |
      | s=unknown@0 s=v1@1 | 2     | unknown  |
      | s=unknown@0       | 1      | unknown  |
      | s=v1@0 s=v2@121   | 122    | v2       |
      | t=v1@0            | 1      | not      |

  Scenario: Records have a bound, and the oldest go first
    # A flood of streams may cost records, which refuses their resumption; it
    # must not cost memory without bound.
    Given no recorded stream
    When 16385 streams are recorded, one a millisecond
    Then the records hold 16384 streams
    And the first recorded stream is not known and the last one is

  Scenario: The streams that began since a moment are found
    # They are published when a second version is added.
    Given no recorded stream
    When the streams "a=v1@0 b=v1@50 c=v1@60 a=v1@70" are recorded
    Then the streams since second 60 are "a c"

  Scenario Outline: One version is the only one if no other was listed meanwhile
    Given no listed versions
    When the versions "<changes>" are listed and removed
    Then since second <since> the only version of "s" is "<sole>"

    Examples: +service/version, and -service/version@second
      | changes                      | since | sole |
      |                              | 0     | none |
      | +s/v1                        | 0     | v1   |
      | +s/v1 +s/v1 -s/v1@9          | 0     | v1   |
      | +s/v1 +s/v2                  | 0     | none |
      | +s/v1 +s/v2 -s/v1@9          | 5     | none |
      | +s/v1 +s/v2 -s/v1@9          | 10    | v2   |
      | +s/v1 -s/v1@9                | 5     | v1   |
      | +s/v1 -s/v1@9                | 10    | none |
      | +s/unknown                   | 0     | none |
      | +s/v1 +s/unknown -s/unknown@9 | 5    | none |
      | +s/v1 +t/v2                  | 0     | v1   |
      | +s/v1 -s/v1@9 +s/v2 -s/v2@400 +s/v1 | 398 | none |

  Scenario Outline: Records survive that many gateways end at once
    # Gateways begin streams and end with what only they know. Holders are
    # chosen as by the exchange; the loss of a message is not part of this.
    Given a data centre of 100 gateways and another of 100
    When the exchange of each gateway sends the records of 20 streams
    And <ended> of the first 100 gateways end
    Then at least <alone> % of the records remain in the first data centre
    And at least <share> % of the records are found from the first data centre
    And at least <share> % of the records are found from the other data centre

    Examples: of three holders one lives on at 1 - 0.4^3 = 93.6 %
      | ended | alone | share |
      | 0     | 100   | 100   |
      | 40    | 92    | 99    |

  Scenario Outline: The only version is not told beyond what is remembered
    # A version that left before would be missing from the memory.
    Given a gateway that has listed only version "v1" of "s" for <hours> hours
    Then the only version of "s" in the last <seconds> seconds is "<sole>"

    Examples: versions that are gone are remembered for 300 s
      | hours | seconds | sole |
      | 1     | 6       | v1   |
      | 1     | 300     | v1   |
      | 1     | 301     | none |
      | 1     | 3000    | none |
      | 0     | 6       | none |

  Scenario Outline: Gateways that say different versions tell none
    # Each answer could be the wrong one, whichever comes first.
    Given the data centre of a gateway with records "<near>" and one with "<far>"
    When that gateway asks for the stream
    Then the stream is known to it as "<known>"

    Examples: what each other gateway has recorded
      | near            | far         | known   |
      | v1 v1           | v1          | v1      |
      | v1 v2           | v1          | unknown |
      | v2 v1           | v1          | unknown |
      | v1 v1           | v2          | unknown |
      | v1 unknown      | v1          | unknown |
      | not v1          | not         | v1      |
      | not not         | v1          | v1      |
      | not not         | unknown     | unknown |
      | not not         | not         | not     |

  Scenario: A gateway that does not answer is not waited for long
    # The limit for all answers is 0.25 s.
    Given the data centre of a gateway with records "v1 silent" and one with "v1"
    When that gateway asks for the stream
    Then the stream is known to it as "v1"
    And the answer took less than 0.2 seconds
