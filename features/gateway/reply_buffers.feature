Feature: Replies that are buffered at the same time share a bound of memory

  Scenario Outline: Replies without end to many requests leave the process its memory
    Given a gateway process with a sound target
    And a target that sends <bytes> without end to 16 requests at once
    When 16 callers send a request to that target at once
    Then each of these callers gets status 502
    And the gateway process has taken less than 150 MB
    And a request to the sound target is served

    Examples:
      | bytes         |
      | a body        |
      | a chunk       |
      | trailers      |
      | header lines  |

  Scenario Outline: The largest replies are cut off once all exceed the limit
    Given a limit of 100 bytes for all replies
    When replies grow by "<growth>"
    Then the replies "<cut>" are cut off
    And the replies hold <total> bytes together

    Examples: the name of a reply and the bytes that it grows by
      | growth               | cut  | total |
      | a60 b40              |      | 100   |
      | a60 b41              | a    | 101   |
      | a30 b30 c30 b20      | b    | 110   |
      | a101                 | a    | 101   |
      | a60 b50 c60          | a,c  | 170   |
      | a60 b50 c40 a20      | a    | 170   |

  Scenario: Replies that have ended no longer count
    Given a limit of 100 bytes for all replies
    When replies grow by "a60"
    And all replies end
    And replies grow by "b90"
    Then the replies "" are cut off
    And the replies hold 90 bytes together

  Scenario Outline: The limit follows the settings
    Given a site with plain targets "a"
    And the gateway runs
    When a reload states <memory> MB of memory
    Then all replies may hold <limit> MB

    Examples:
      | memory | limit |
      | 150    | 18.75 |
      | 300    | 37.5  |
