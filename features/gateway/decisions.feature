Feature: The gateway's decisions, without input and output

  Scenario Outline: A view of the directory is trusted only while it is recent
    Given revoked keys must stop working within 5 seconds, at a manual clock
    When a view that was requested <age> seconds ago is confirmed
    Then keys <keys> trusted and an unknown key or route <unknown> denied

    Examples:
      | age  | keys    | unknown |
      | 0.1  | are     | is      |
      | 3.1  | are     | is      |
      | 3.3  | are     | is not  |
      | 4.7  | are     | is not  |
      | 4.8  | are not | is not  |
      | 60.0 | are not | is not  |

  Scenario: Confirming an older view does not make the view more recent
    Given revoked keys must stop working within 5 seconds, at a manual clock
    When a view that was requested 1.0 seconds ago is confirmed
    And a view that was requested 4.9 seconds ago is confirmed
    Then keys are trusted and an unknown key or route is denied

  Scenario Outline: The retries of all instances stay within the shared budget
    When <instances> instances retry whenever they may, at <rate> requests per second each, for 60 seconds
    Then no 10 seconds have more retries than 0.2 of the requests plus <slack>

    Examples: the platform's ratio, window and slack at each site's size
      | instances | rate | slack |
      | 8         | 3.4  | 56    |
      | 9         | 3.0  | 58    |
      | 89        | 1.1  | 218   |
      | 77        | 1.4  | 194   |
      | 8         | 0.0  | 56    |

  Scenario Outline: A stopping process accepts only what it can finish
    Given a process that was told to stop and is killed after 8 seconds
    Then <seconds> seconds later a <kind> generation of <tokens> tokens and <deadline> seconds is <outcome>

    Examples: the deadline fits
      | seconds | kind       | tokens | deadline | outcome |
      | 0.0     | single     | 932    | 6.9      | taken   |
      | 2.9     | single     | 12     | 4.0      | taken   |
      | 3.2     | single     | 932    | 3.7      | taken   |
      | 6.5     | repeatable | 12     | 0.4      | taken   |

    Examples: the deadline does not fit, early
      | seconds | kind       | tokens | deadline | outcome |
      | 0.0     | repeatable | 12     | 39.0     | taken   |
      | 0.0     | repeatable | 500    | 39.0     | taken   |
      | 0.0     | repeatable | 932    | 39.0     | refused |
      | 0.0     | single     | 12     | 39.0     | refused |
      | 2.4     | repeatable | 200    | 6.0      | taken   |
      | 2.4     | single     | 200    | 6.0      | refused |

    Examples: the deadline does not fit, late
      | seconds | kind       | tokens | deadline | outcome |
      | 2.6     | repeatable | 12     | 6.0      | refused |
      | 3.2     | repeatable | 200    | 6.0      | refused |
      | 3.2     | repeatable | 300    | 6.0      | refused |
      | 5.2     | repeatable | 36     | 6.0      | refused |
      | 6.5     | repeatable | 12     | 6.0      | refused |
      | 6.5     | single     | 12     | 0.6      | refused |

  Scenario Outline: The last steps of a shutdown fit into any grace
    Given a process that was told to stop and is killed after <grace> seconds
    Then it gives final responses after <responses> seconds and exits after <exit>

    Examples: at the end of the grace, within its last sixth
      | grace | responses | exit |
      | 8     | 7.3       | 7.6  |
      | 30    | 29.3      | 29.6 |
      | 2     | 1.75      | 1.875 |

  Scenario Outline: An event loop that is late ends requests earlier
    Given a process that was told to stop and is killed after <grace> seconds
    And whose event loop is late by <delay> seconds at most
    Then it gives final responses after <responses> seconds and exits after <exit>

    Examples: twice the delay before the final responses, once before the exit
      | grace | delay | responses | exit  |
      | 8     | 0.1   | 7.1       | 7.5   |
      | 8     | 0.25  | 7.0       | 7.35  |
      | 8     | 2.0   | 7.0       | 7.0   |
      | 30    | 1.0   | 29.0      | 29.0  |
      | 2     | 0.03  | 1.69      | 1.845 |

  Scenario Outline: A request that was accepted by its deadline is not ended before
    Given a process that was told to stop and is killed after <grace> seconds
    Then its ends come after the deadline of what it accepts, however late its event loop gets

    Examples:
      | grace |
      | 1     |
      | 4     |
      | 8     |
      | 600   |

  Scenario Outline: A stopping process allows for the longest possible output
    Given a caller that estimates <hint> tokens and allows <most>
    Then a stopping process allows for at least <tokens> tokens

    Examples: callers' estimates are often far off
      | hint | most | tokens |
      | 168  | 1756 | 1756   |
      | 900  | 40   | 40     |
      | none | 1200 | 1200   |
      | 168  | 0    | 168    |

  Scenario: Copies of a KV cache stay in the data centre of the generation
    Given engines "a1@a a2@a a3@a b1@b b2@b" for copies
    And engine "a2" reports that it is full
    When 200 copies of generations on "a1" are placed
    Then all copies are on "a3"
    And the destinations of a migration are ranked "a3 a2"

  Scenario: Copies are spread over engines instead of queueing on one link
    Given engines "a1@a a2@a a3@a a4@a" for copies
    And engine "a2" reports 2000 tokens
    When 200 copies of generations on "a1" are placed
    Then each of "a2 a3 a4" has at least 20 copies

  Scenario Outline: A request goes to the nearest target unless it is busier
    Given plain targets "near@a far@b" for placement
    And "near" has <times> requests in flight
    Then a plain request goes to "<target>"

    Examples:
      | times | target |
      | 0     | near   |
      | 1     | far    |
      | 6     | far    |

  Scenario: A failing target is avoided until its failures have decayed
    Given plain targets "near@a far@b" for placement
    When "near" fails 3 times
    Then a plain request goes to "far"
    When 12 seconds pass for the targets
    Then a plain request goes to "near"

  Scenario: Sent requests count as load until a report can include them
    Given an engine of 30000 tokens that reports 10000 tokens and 3 requests
    When a request with 3000 prompt and 1000 output tokens is sent to the engine
    Then the engine is estimated to need 14000 tokens and 4 slots
    When the engine reports 13100 tokens and 4 requests a second later
    Then the engine is estimated to need 14100 tokens and 4 slots

  Scenario Outline: Events are split at their ends, in pieces of any size
    When the stream "<bytes>" arrives in pieces of <size> bytes
    Then its events are "<events>" and it <ends>

    Examples: | stands for a line feed
      | bytes                            | size | events | ends           |
      | id: 1:data: a::id: 2:data: b::   | 1    | 1 2    | ends between   |
      | id: 1:data: a::id: 2:data: b::   | 7    | 1 2    | ends between   |
      | id: 1:data: a::id: 2:data: b::   | 900  | 1 2    | ends between   |
      | id: 1:data: a::id: 2:da          | 3    | 1      | ends within    |
      | data: no number::id: 2:data: b:: | 5    | - 2    | ends between   |

  Scenario Outline: A target that is missing after an outage is dropped after a grace period
    Given listed targets "x y"
    When the directory returns from an outage without "x"
    And <seconds> seconds pass
    Then "x" is <known>

    Examples:
      | seconds | known   |
      | 1.5     | known   |
      | 2.5     | dropped |

  Scenario: A target that is listed again soon after an outage is kept
    Given listed targets "x y"
    When the directory returns from an outage without "x"
    And 1.5 seconds pass
    And "x" is listed again
    And 5.0 seconds pass
    Then "x" is known

  Scenario: A target that is removed while the directory is reachable is dropped at once
    Given listed targets "x y"
    When "x" is removed while the directory is reachable
    Then "x" is dropped

  Scenario: A target that restarts under the same id starts with a new state
    Given listed targets "x y"
    When "x" is listed with another start time
    Then the recorded state of "x" is discarded

  Scenario: Callers that are refused at the same time retry at different times
    When 1000 generations are refused at once
    Then no tenth of a second has more than 200 of their retries

  Scenario Outline: A refused generation retries within a third of its time left
    When 1000 generations with <left> seconds left are refused
    Then they retry after <first> to <last> seconds

    Examples:
      | left | first | last |
      | 39.0 | 3.9   | 13.0 |
      | 6.0  | 0.6   | 2.0  |
      | 0.5  | 0.3   | 0.3  |
