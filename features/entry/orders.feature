Feature: Orders from real entries to engines

  Scenario Outline: A change of the objects is ordered once and cuts nothing
    Given 3 real entries and an engine that <checks> fencing numbers
    When a stream is in progress and the objects want <change>
    Then the engine gets one order "<kind>" while it is idle
    And the stream was whole

    Examples:
      | checks  | change          | kind    |
      | checks  | another version | version |
      | ignores | another version | version |
      | ignores | a role          | role    |
      | checks  | an adapter      | adapter |

  Scenario Outline: Another entry takes over from a sender that is gone
    Given 3 real entries and an engine that ignores fencing numbers
    When the sender of its orders is <fault> and the objects want an adapter
    Then the engine gets one order "adapter" from another entry
    When the fault of the sender ends
    Then the engine never gets an old order

    Examples:
      | fault  |
      | killed |
      | paused |
