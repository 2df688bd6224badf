Feature: Settings are read again when they change

  Scenario: A change that is told while a process starts does not end it
    Given a gateway process that is told of new settings as it starts
    Then the gateway process is soon ready

  Scenario: A process starts while its settings are being written
    Given a gateway process whose settings file is empty
    When the settings file is written after it was read
    Then the gateway process is soon ready

  Scenario: Settings that stay wrong end a start with their error
    Given a gateway process whose settings file is empty
    Then the gateway process ends and names its settings file

  Scenario Outline: New settings
    Given a site with plain targets "a"
    And the gateway runs
    When the settings <change> and are read again
    Then the gateway <uses> them

    Examples:
      | change        | uses         |
      | change        | uses         |
      | are no longer proper | does not use |

  Scenario: New settings without a signal
    Given a gateway process that follows a store
    When its settings file names another store
    Then it follows the other store soon, with the same process
