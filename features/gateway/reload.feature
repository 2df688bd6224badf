Feature: Settings are reloaded when they change

  Scenario: A signal to reload while a process starts does not end it
    Given a gateway process that receives SIGHUP repeatedly while it starts
    Then the gateway process becomes ready

  Scenario: A process starts while its settings file is being written
    Given a gateway process whose settings file is empty
    When the settings file is written after the process has refused it
    Then the gateway process becomes ready

  Scenario: A process whose settings stay invalid exits with an error
    Given a gateway process whose settings file is empty
    Then the gateway process exits with an error that names its settings file

  Scenario: A stop while a process waits for its settings ends it before it listens
    Given a gateway process whose settings file is empty
    When it is told to stop and its settings file is written
    Then the gateway process ends without having listened

  Scenario Outline: Reloaded settings are applied if they are valid
    Given a site with plain targets "a"
    And the gateway runs
    When the gateway reloads <kind> settings
    Then the gateway <outcome> the reloaded settings

    Examples:
      | kind    | outcome |
      | changed | applies |
      | invalid | ignores |

  Scenario: Changed settings are applied without a signal
    Given a gateway process that watches a store
    When its settings file names another store
    Then the same process watches the other store
