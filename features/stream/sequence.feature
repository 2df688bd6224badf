Feature: Each event of one generation is accepted once and in order

  Scenario Outline: Events of one connection
    Given a stream sequence of run "a" after event <after>
    When the stream events "<events>" arrive
    Then the stream passes on "<passed>" and its state is "<state>"

    Examples: n is a token, Fn the last one, En a numbered end, E an end
      | after | events           | passed      | state                          |
      | 0     | a1 a2 aF3 aE4    | a1 a2 aF3 E | ended                          |
      | 0     | a1 aF2 E         | a1 aF2 E    | ended                          |
      | 0     | a1 a1 a2         | a1 a2       | open                           |
      | 0     | a1 a2 a1 a3      | a1 a2 a3    | open                           |
      | 0     | a1 a3            | a1          | an event is missing            |
      | 0     | a2 a1            |             | an event is missing            |
      | 0     | a1 b2 a2         | a1          | an event of another generation |
      | 0     | a1 aE2           | a1          | an end before the last token   |
      | 0     | a1 aE3           | a1          | an event is missing            |
      | 0     | a1 E             | a1          | an end before the last token   |
      | 0     | E                |             | an end before the last token   |
      | 0     | a1 bE2           | a1          | an event of another generation |
      | 0     | a1 ax            | a1          | an event without a number      |
      | 0     | aF1 aE2 a2       | aF1 E       | ended                          |
      | 2     | a1 a2 a3         | a3          | open                           |
      | 2     | aE3              | E           | ended                          |
      | 2     | aE4              |             | an event is missing            |

  Scenario: Random connection faults never give a caller a wrong token
    When many streams are relayed over connections with random faults
    Then no stream token was repeated, skipped or of another generation
    And each stream ended whole or lost with the exact count

  Scenario: A byte stream parses to the same events however it is split
    When stream events are cut into random pieces
    Then the stream parser finds the same events
