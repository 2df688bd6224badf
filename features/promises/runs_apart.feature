Feature: Test runs beside one another do not mix

  Scenario: Each run has keys and a secret of its own
    Then two runs of the test programs share neither key nor secret

  Scenario: An entry of another run at a port that was let go
    Given two entries and a plain service
    And an entry of another run takes the port of the first when it has stopped
    When a caller of the first run sends an action to that port
    Then it is refused as "not_allowed"
    And no plain service of either run has run it
