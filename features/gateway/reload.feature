Feature: Settings are read again when they change

  Scenario: A change that is told while a process starts does not end it
    Given a gateway process that is told of new settings as it starts
    Then the gateway process is soon ready

  Scenario Outline: New settings
    Given a site with plain targets "a"
    And the gateway runs
    When the settings <change> and are read again
    Then the gateway <uses> them

    Examples:
      | change        | uses         |
      | change        | uses         |
      | are no longer proper | does not use |
