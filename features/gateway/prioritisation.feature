Feature: What is delayed or refused costs callers least

  Guards against an overload in which the most urgent requests are refused as
  often as the others: each instance seldom has two requests that wait, so an
  order within an instance is not enough.

  Scenario Outline: A burst of drafts leaves room for checks on all engines
    When 78 instances place drafts and checks on 20 engines at <load> times the load they bear
    Then at most <checks> of the checks are refused
    And checks are refused less often than without ranks, or hardly ever
    And at least 0.9 of the drafts of a run without ranks are placed

    Examples:
      | load | checks |
      | 1.0  | 0.05   |
      | 1.5  | 0.05   |
      | 2.4  | 0.15   |

  Scenario Outline: The room that a generation leaves on an engine
    Given recent checks of 2000 tokens with rank "0/0" and drafts of 4000 tokens with rank "0/2"
    And engines of which 0.8 is in use
    When a generation of rank "<rank>" that was read <age> s ago with a deadline of 40 s and an objective of 4 s is placed after <seconds> s
    Then it leaves <memory> of 20000 tokens and <slots> slots

    Examples:
      | rank | age | seconds | memory | slots | # why                        |
      | 0/0  | 0   | 0       | 0.0    | 0     | nothing is more urgent       |
      | 0/2  | 0   | 0       | 0.15   | 1     | half of the next 3 are checks |
      | 0/2  | 20  | 0       | 0.075  | 1     | half of its time is over     |
      | 0/2  | 40  | 0       | 0.0    | 1     | its time is over             |
      | 0/2  | 0   | 70      | 0.0    | 0     | no check was seen for a minute |
      | 0/3  | 0   | 0       | 0.3    | 1     | all demand is more urgent    |
      | 9/0  | 0   | 0       | 0.3    | 1     | a team's rank goes first     |

  Scenario Outline: Room is reserved only while engines are crowded
    Given engines of which <used> is in use
    Then the reserve counts by <part> at once and by <later> after <seconds> s

    Examples:
      | used | part | later | seconds |
      | 0.3  | 0.0  | 0.0   | 1.0     |
      | 0.65 | 0.5  | 0.5   | 1.9     |
      | 1.0  | 1.0  | 0.0   | 2.1     |

  # A generation is its name, rank, reading time, objective and deadline.
  Scenario Outline: The order in which requests of an instance are served
    Given recent checks of 2000 tokens with rank "0/0" and drafts of 4000 tokens with rank "0/2"
    When generations "<a>" and "<b>" wait at second 10
    Then the first in line is "<first>"

    Examples:
      | a                       | b                          | first | # why                                 |
      | one 0/0 10 1.5 6        | two 0/2 10 4 40            | one   | more urgent                           |
      | one 0/0 10 1.5 6        | two 0/2 2.5 4 40           | one   | the draft is late already             |
      | one 0/0 10 1.5 6        | two 0/2 6.5 1.5 40         | one   | the draft is late already             |
      | one 0/2 10 4 40         | two 0/2 8 4 40             | two   | it has waited for longer              |
      | one 0/2 10 4 40         | two 0/2 2 4 40             | one   | the other can no longer be in time    |

  Scenario Outline: A generation that cannot be complete in time is refused
    Then a generation of <tokens> tokens with <seconds> s left is <outcome>

    Examples:
      | tokens | seconds | outcome  |
      | 4000   | 5.0     | refused  |
      | 1000   | 5.0     | accepted |
      | 12     | 0.05    | accepted |
      | 12     | 0.01    | refused  |
      | 0      | 0.01    | accepted |

  Scenario: Requests that wait take turns and leave in any order
    Given 200 requests that wait in random order
    When they leave, some of them out of turn
    Then each of them becomes the first only when all more urgent ones have left

  Scenario: A list that nobody waits in takes no memory
    Given 200 requests that wait in random order
    When all of them leave
    Then no list is left
