Feature: Orders as a function of configuration, list and engine

  Scenario Outline: Only a difference leads to an order, one at a time
    Given an engine that holds <models> with adapters "<adapters>" as <role> and has obeyed <fencing>
    When model m version 2 with adapter "a" is wanted as decode at revision 7
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

  Scenario: Entries that agree give the same orders
    When the wanted states of 9 engines are worked out from the list in two orders
    Then they are the same and hold 3 prefill, 2 decode and 4 mixed

  Scenario Outline: A turn starts anew when the view changes
    Given a turn that is granted after 5 seconds
    When <event> and the turn waits 4 more seconds
    Then the turn is <granted>

    Examples:
      | event                 | granted     |
      | nothing changes       | granted     |
      | the sender changes    | not granted |
      | the revision changes  | not granted |
      | the process is paused | not granted |

  Scenario: Loads are spaced to the store's rate
    Given a store of 100 bytes a second and 2 loads at one time
    When loads of 300 bytes begin whenever they are allowed for 60 seconds
    Then no more than 2 overlap and at most 6300 bytes were ordered
