Feature: Orders from entry processes to engines

  Scenario Outline: A change of the configuration causes one order and interrupts no stream
    Given 3 entry processes and an engine that <checks> fencing tokens
    When a stream is in progress and the configuration asks for <change>
    Then the engine receives one "<kind>" order, while idle if it interrupts requests
    And the stream delivered all its tokens

    Examples:
      | checks  | change          | kind    |
      | checks  | another version | version |
      | ignores | another version | version |
      | ignores | a role          | role    |
      | checks  | an adapter      | adapter |

  Scenario Outline: Another entry sends the orders if their sender fails
    Given 3 entry processes and an engine that ignores fencing tokens
    When the entry that sends its orders is <fault> and the configuration asks for an adapter
    Then the engine receives one "adapter" order from another entry
    When the fault of the sender ends
    Then the engine receives no order of an older revision

    Examples:
      | fault  |
      | killed |
      | paused |
