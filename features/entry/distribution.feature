Feature: One set in force on all entries, with the real peer code

  Scenario: Rivals that different watchers read never both come into force
    Given 6 nodes in 2 places with the set 1 in force
    When 12 times two rivals are read by different halves up to 50 ms apart
    Then after each race all nodes hold the same set
    And no node ever replaced a set by one that was not made from it
    And every node says why the last one that lost was refused

  Scenario Outline: A cut heals without taking back what was in force
    Given 6 nodes in 2 places with the set 1 in force
    When the places are cut apart and <published>
    And the cut heals
    Then <result>
    And no node ever replaced a set by one that was not made from it

    Examples:
      | published                           | result                            |
      | one side reads sets 2, 3 and 4      | all nodes hold set 4              |
      | each side reads a rival of the other| both sides report a fork          |

  Scenario: A fork ends with a set that is made from both sides
    Given 6 nodes in 2 places with the set 1 in force
    When the places are cut apart and each side reads a rival of the other
    And the cut heals
    Then both sides report a fork
    When a set that is made from both is published
    Then all nodes hold set 3
    And no node ever replaced a set by one that was not made from it

  Scenario: A new node takes what its peers hold, not the loser of a race
    Given 6 nodes in 2 places with the set 1 in force
    When a rival of the set in force is the last thing in the service
    And a node is added
    Then the new node holds the set that the others hold
    And the new node says why the last one that lost was refused

  Scenario Outline: A transfer that is damaged changes nothing
    Given 6 nodes in 2 places with the set 1 in force
    When a peer answers a pull with <fault>
    Then the set 1 stays in force

    Examples:
      | fault                       |
      | a body that is no message   |
      | a digest that is wrong      |
      | data that is not compressed |
      | data that inflates to 64 MB |
      | an unknown encoding         |
