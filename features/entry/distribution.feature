Feature: Distribution of the configuration among nodes

  Scenario: Of two rival sets read by different watchers only one comes into force
    Given 6 nodes in 2 data centres with set 1 in force
    When 12 times two rival sets are published to different data centres up to 50 ms apart
    Then after each race the same set is in force on all nodes
    And no node ever replaced a set by one that does not descend from it
    And every node reports why the last losing rival was refused

  Scenario Outline: No set in force is withdrawn after a partition between data centres
    Given 6 nodes in 2 data centres with set 1 in force
    When the data centres are partitioned and <published>
    And the data centres are connected again
    Then <result>
    And no node ever replaced a set by one that does not descend from it

    Examples:
      | published                           | result                            |
      | one side reads sets 2, 3 and 4      | set 4 is in force on all nodes    |
      | each side reads a rival of the other| both sides report a fork          |

  Scenario: A set made from both sides of a fork ends the fork
    Given 6 nodes in 2 data centres with set 1 in force
    When the data centres are partitioned and each side reads a rival of the other
    And the data centres are connected again
    Then both sides report a fork
    When a set made from both rivals is published
    Then set 3 is in force on all nodes
    And no node ever replaced a set by one that does not descend from it

  Scenario: A new node takes the set of its peers, not the losing rival
    Given 6 nodes in 2 data centres with set 1 in force
    When the last set published to the service is a rival of the one in force
    And a node is added
    Then the new node has the same set in force as the others
    And the new node reports why the last losing rival was refused

  Scenario Outline: A damaged transfer does not change the set in force
    Given 6 nodes in 2 data centres with set 1 in force
    When a peer answers pulls with <fault>
    Then set 1 stays in force

    Examples:
      | fault                       |
      | a body that is no message   |
      | a digest that is wrong      |
      | data that is not compressed |
      | data that inflates to 64 MB |
      | an unknown encoding         |
