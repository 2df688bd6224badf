Feature: The example deployments

  Scenario Outline: The objects of an example pass the check
    Then the check of the objects in <folder> finds nothing

    Examples:
      | folder              |
      | examples/los-santos |
      | examples/sohar      |

  Scenario Outline: Nine entries start with an example
    Given the example deployment in <folder>, on loopback
    When its nine entries start
    Then each becomes ready with 12 targets and 8 peers

    Examples:
      | folder              |
      | examples/los-santos |
      | examples/sohar      |

  Scenario: The committed schemas are those of the program
    Then docs/schema holds the schemas that the program publishes
