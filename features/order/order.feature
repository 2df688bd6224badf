Feature: Orders to engines follow from the configuration, the instance list and the engine's state

  Scenario Outline: An engine gets one order at a time, and none in its desired state
    Given an engine with models <models>, adapters "<adapters>", role <role> and fencing <fencing>
    When the desired state is model m version 2 with adapter "a" and role decode at revision 7
    Then the next order is "<order>"

    Examples:
      | models   | adapters | role   | fencing | order     |
      | none     |          | mixed  | 0       | load m 2  |
      | m=1      |          | mixed  | 0       | version m 2 |
      | m=2      |          | mixed  | 0       | adapter m a |
      | m=2      | a        | mixed  | 0       | role decode |
      | m=2      | a        | decode | 0       | none      |
      | m=2 n=1  | a        | decode | 7       | unload n  |
      | m=2 x=1  | a        | decode | 7       | none      |
      | m=1      |          | mixed  | 8       | none      |

  Scenario: Desired states do not depend on the order of the instance list
    When the desired states of 9 engines are computed from the instance list in two orders
    Then they are equal and have 3 prefill, 2 decode and 4 mixed roles

  Scenario Outline: A change of the view restarts the wait before orders are sent
    Given a sender that has waited 4 of 5 seconds without a change of its view
    When <event> and the sender waits 4 more seconds
    Then the sender <permission> send orders

    Examples:
      | event                 | permission |
      | nothing changes       | may        |
      | the sender changes    | may not    |
      | the revision changes  | may not    |
      | the process is paused | may not    |

  Scenario: Weight loads are limited to the bandwidth of their store
    Given a store with 100 bytes per second and at most 2 concurrent loads
    When loads of 300 bytes start as soon as they are permitted for 60 seconds
    Then at most 2 loads overlap and at most 6300 bytes were ordered
