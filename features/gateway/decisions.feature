Feature: The gateway's decisions, apart from input and output

  Scenario Outline: How long a view may be trusted
    Given keys must not work 5 seconds after they were taken away, at a manual clock
    When a view is confirmed that was asked for <age> seconds ago
    Then keys <keys> trusted and what is unknown <unknown> denied

    Examples:
      | age  | keys    | unknown |
      | 0.1  | are     | is      |
      | 3.1  | are     | is      |
      | 3.3  | are     | is not  |
      | 4.7  | are     | is not  |
      | 4.8  | are not | is not  |
      | 60.0 | are not | is not  |

  Scenario: An answer that arrives late does not make a view younger
    Given keys must not work 5 seconds after they were taken away, at a manual clock
    When a view is confirmed that was asked for 1.0 seconds ago
    And a view is confirmed that was asked for 4.9 seconds ago
    Then keys are trusted and what is unknown is denied

  Scenario Outline: Repeats of all instances together stay under the shared budget
    When <instances> instances repeat whenever they may, at <rate> requests a second each, for 60 seconds
    Then in no 10 seconds are there more repeats than 0.2 of the requests and <slack>

    Examples: the platform's ratio, window and slack at each site's size
      | instances | rate | slack |
      | 8         | 3.4  | 56    |
      | 9         | 3.0  | 58    |
      | 89        | 1.1  | 218   |
      | 77        | 1.4  | 194   |
      | 8         | 0.0  | 56    |

  Scenario Outline: A stop refuses what would be cut
    Given a process that was told to stop and has 8 seconds until it is killed
    Then <seconds> seconds later a generation of <tokens> tokens is <outcome>

    Examples:
      | seconds | tokens | outcome |
      | 0.0     | 12     | taken   |
      | 0.0     | 500    | taken   |
      | 0.0     | 932    | refused |
      | 3.2     | 200    | taken   |
      | 3.2     | 300    | refused |
      | 6.5     | 12     | refused |

  Scenario Outline: How long a generation may become, for a process that stops
    Given a caller that guesses <hint> tokens and allows <most>
    Then at least <tokens> tokens are allowed for by a process that stops

    Examples: callers' guesses are often far off
      | hint | most | tokens |
      | 168  | 1756 | 1756   |
      | 900  | 40   | 40     |
      | none | 1200 | 1200   |
      | 168  | 0    | 168    |

  Scenario: A copy stays within the data centre of its generation
    Given engines "a1@a a2@a a3@a b1@b b2@b" for copies
    And engine "a2" seems full
    When 200 copies of generations on "a1" are placed
    Then all copies are on "a3"
    And the ranking for a move is "a3 a2"

  Scenario: Copies are spread, so that they do not all wait for one link
    Given engines "a1@a a2@a a3@a a4@a" for copies
    And engine "a2" holds 2000 tokens
    When 200 copies of generations on "a1" are placed
    Then each of "a2 a3 a4" has at least 20 copies

  Scenario Outline: A request goes near unless what is near is busier
    Given plain targets "near@a far@b" for placement
    And "near" is in use <times> times
    Then a plain request goes to "<target>"

    Examples:
      | times | target |
      | 0     | near   |
      | 1     | far    |
      | 6     | far    |

  Scenario: A target that fails is left until the failures fade
    Given plain targets "near@a far@b" for placement
    When "near" fails 3 times
    Then a plain request goes to "far"
    When 12 seconds pass for the targets
    Then a plain request goes to "near"

  Scenario: Own sends count until a report can hold them
    Given an engine of 30000 tokens with a report of 10000 tokens and 3 runs
    When a run of 3000 and 1000 tokens is sent to the engine
    Then the engine is taken to need 14000 tokens and 4 places
    When the engine reports 13100 tokens and 4 runs a second later
    Then the engine is taken to need 14100 tokens and 4 places

  Scenario Outline: Events are cut where they end, however the bytes come
    When the stream "<bytes>" comes in pieces of <size> bytes
    Then its events are "<events>" and it <ends>

    Examples: | stands for a line feed
      | bytes                            | size | events | ends           |
      | id: 1:data: a::id: 2:data: b::   | 1    | 1 2    | ends between   |
      | id: 1:data: a::id: 2:data: b::   | 7    | 1 2    | ends between   |
      | id: 1:data: a::id: 2:data: b::   | 900  | 1 2    | ends between   |
      | id: 1:data: a::id: 2:da          | 3    | 1      | ends within    |
      | data: no number::id: 2:data: b:: | 5    | - 2    | ends between   |

  Scenario Outline: Entries that are missing after an outage of the directory
    Given targets "x y" that were listed
    When the directory is lost and comes back without "x"
    And <seconds> seconds pass
    Then "x" is <known>

    Examples:
      | seconds | known   |
      | 1.5     | known   |
      | 2.5     | dropped |

  Scenario: An entry that comes back after an outage is kept
    Given targets "x y" that were listed
    When the directory is lost and comes back without "x"
    And 1.5 seconds pass
    And "x" is listed again
    And 5.0 seconds pass
    Then "x" is known

  Scenario: An entry that is removed while the directory is steady is dropped at once
    Given targets "x y" that were listed
    When "x" is removed while the directory is steady
    Then "x" is dropped

  Scenario: A target that starts again under its id knows nothing of before
    Given targets "x y" that were listed
    When "x" is listed with another start
    Then what was known of "x" is gone

  Scenario: Callers that were refused together do not come back together
    When 1000 generations are refused at once
    Then no tenth of a second gets more than 200 of their returns

  Scenario Outline: A refused generation comes back once there may be room
    When 1000 generations with <left> seconds left are refused
    Then they come back after <first> to <last> seconds

    Examples:
      | left | first | last |
      | 39.0 | 3.9   | 13.0 |
      | 6.0  | 0.6   | 2.0  |
      | 0.5  | 0.3   | 0.3  |
