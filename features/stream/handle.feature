Feature: Resume handles

  Scenario: Handles that were compressed are told apart like all others
    Given 500 drawn resume handles
    Then some resume handles begin with a dot and some do not
    And each resume handle is found in its event ids
    And no two resume handles are the same
