Feature: Requests that get a second target beside a slow one

  # The limit was not looked at again after the attempt beside the slow target.
  Scenario: A request is not run more often than its route allows
    Given a site with plain targets "a,b,c"
    And the gateway runs
    When targets will "failure after 2.4 s", "failure" and then "answer"
    And a caller waits for a request on "safe"
    Then its status is 500 after at most 2 runs

  Scenario: Both attempts end if the caller leaves
    Given a site with plain targets "a,b"
    And the gateway runs
    When targets will "silent", "silent" and then "answer"
    And a caller leaves a request on "safe" after 2.5 seconds
    Then no target works on it and none counts as loaded

  Scenario: Both attempts end at the deadline
    Given a site with plain targets "a,b"
    And the gateway runs
    When targets will "silent", "silent" and then "answer"
    And a caller waits for a request on "safe"
    Then no target works on it and none counts as loaded

  # Error replies were dropped while the other target was waited for.
  Scenario Outline: An error reply is forwarded if no other reply comes
    Given a site with plain targets "a,b"
    And the gateway runs
    When targets will "<first>", "<second>" and then "answer"
    And a caller waits for a request on "safe"
    Then its status is 500 after at most 2 runs

    Examples:
      | first               | second  |
      | silent              | failure |
      | failure after 2.4 s | silent  |

  # Only the first target's failures were told to the guard of prompts.
  Scenario: A crash of the second target is noticed
    Given a site with plain targets "a,b"
    And the log of the gateway is kept
    And the gateway runs
    When targets will "silent", "crash" and then "answer"
    And a caller waits for a prompt of the parts "x,y" on "safe"
    Then 1 crashes of targets were logged

  # The first target's body was waited for beside a complete reply.
  Scenario Outline: A complete reply is not lost to one that does not end
    Given a site with plain targets "a,b"
    And the gateway runs
    When targets will "half a body after 2.2 s", "<second>" and then "answer"
    And a caller waits for a request on "safe"
    Then its status is 200 after at most 2 runs

    Examples:
      | second |
      | answer |
      | slow   |

  # The second attempt was waited for until the deadline.
  Scenario: A third target is tried beside two that do not answer
    Given a site with plain targets "a,b,c"
    And route "safe" allows 3 runs
    And the gateway runs
    When targets will "silent", "silent" and then "answer"
    And a caller waits for a request on "safe"
    Then its status is 200 after at most 3 runs

  # The first target was given up for a part of a stray reply.
  Scenario: A stray reply that comes in parts does not cost the first reply
    Given a site with plain targets "a,b"
    And the gateway runs
    When targets will "long stray after 2.4 s", "silent" and then "answer"
    And a caller waits for a request on "safe"
    Then its status is 200 after at most 2 runs
