Feature: Resume handles

  Scenario: Compressed and uncompressed handles are distinct and readable
    Given 500 drawn resume handles
    Then some resume handles begin with a dot and some do not
    And each resume handle is found in its event ids
    And no two resume handles are the same
