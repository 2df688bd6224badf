Feature: Settings of a process

  Scenario Outline: A fault in a settings file is told with its line
    Given the settings file of an example, with <old> changed to <new>
    When the settings command checks the file
    Then the settings command ends with <code> and says "<text>"

    Examples:
      | old                          | new                        | code | text                     |
      | "level": "INFO"              | "level": "INFO"            | 0    | **********               |
      | "level": "INFO"              | "level": "LOUD"            | 2    | logging.level            |
      | "format": "keyvalue"         | "format": "xml"            | 2    | unknown log format       |
      | "drain_notice_seconds": 5    | "drain_notice_seconds": -1 | 2    | drain_notice_seconds     |
      | "drain_notice_seconds": 5    | "drain_notice": 5          | 2    | .json:31: drain_notice   |
      | "10.41.1.10:7000"            | "yard.example:7000"        | 2    | not an IP number         |
      | "10.41.1.10:7000"            | "10.41.1.10:70000"         | 2    | port 70000 out of range  |
      | "10.41.1.10:7000"            | 7000                       | 2    | callers.address          |
      | "secrets":                   | "secrets": 7, "other":     | 2    | secrets                  |
      | "place": "guanacaste",       | "place": "guanacaste"      | 2    | line                     |

  Scenario Outline: The files of a TLS listener are opened before the start
    Given the settings file of an example, with TLS whose <file> is <state>
    When the settings command checks the file
    Then the settings command ends with <code> and says "<text>"

    Examples:
      | file        | state   | code | text                    |
      | certificate | sound   | 0    | certificate             |
      | certificate | missing | 2    | No such file            |
      | key         | missing | 2    | No such file            |
      | key         | other   | 2    | do not fit together     |
      | certificate | empty   | 2    | do not fit together     |
      | authority   | empty   | 2    | authority               |
