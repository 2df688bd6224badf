Feature: An entry's own changes of a target's load
  Scenario Outline: A ledger sums the changes that a report doesn't show yet
    Given a router ledger with 4 changes of 10 blocks, one a second from 1
    Then the router ledger shows <blocks> blocks since second <moment>

    Examples:
      | moment | blocks |
      | 0      | 40     |
      | 2      | 30     |
      | 3.5    | 10     |
      | 9      | 0      |

  Scenario: A ledger drops changes that every usable report shows
    Given a router ledger with 100 changes of 10 blocks, one a second from 1
    Then the router ledger shows 100 blocks since second 91
    And the router ledger keeps at most 21 changes

  Scenario: The size of a ledger stays bounded during a burst
    Given a router ledger with 2000 changes in one second
    Then the router ledger keeps at most 512 changes
