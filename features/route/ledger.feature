Feature: Own changes of load on a target
  Scenario Outline: A router's ledger sums what reports may not show yet
    Given a router ledger with 4 changes of 10 blocks, one a second from 1
    Then the router ledger shows <blocks> blocks since second <moment>

    Examples:
      | moment | blocks |
      | 0      | 40     |
      | 2      | 30     |
      | 3.5    | 10     |
      | 9      | 0      |

  Scenario: A router's ledger forgets what no report can miss any more
    Given a router ledger with 100 changes of 10 blocks, one a second from 1
    Then the router ledger shows 100 blocks since second 91
    And the router ledger keeps at most 21 changes

  Scenario: A router's ledger is bounded in a burst
    Given a router ledger with 2000 changes in one second
    Then the router ledger keeps at most 512 changes
