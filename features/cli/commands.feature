Feature: The command line

  Scenario Outline: A command ends with its exit code
    When the command <line> runs
    Then the command ends with <code> and shows "<text>"

    Examples: Help and usage
      | line                   | code | text                            |
      | --version              | 0    | kingcupfront 0.1.0              |
      | --help                 | 0    | Check a whole set of objects    |
      | check --help           | 0    | Exit codes                      |
      | entry --help           | 0    | graceful shutdown               |
      | ask --help             | 0    | KINGCUPFRONT_KEY                |
      | standin --help         | 0    | platform                        |
      | bench --help           | 0    | policies                        |
      | chek                   | 2    | No such command                 |
      | check                  | 2    | Missing argument                |
      | check nowhere          | 2    | does not exist                  |
      | entry nowhere          | 2    | No such file                    |
      | status yard:1          | 2    | not an IP number and port       |
      | status 127.0.0.1:1     | 1    | 127.0.0.1:1                     |
      | dump 127.0.0.1:1       | 1    | 127.0.0.1:1                     |

    Examples: Objects
      | line                                                                       | code | text             |
      | check examples/sohar/objects                                               | 0    | 20 objects, 0 errors |
      | check examples/sohar/objects examples/los-santos/objects                   | 1    | duplicate_name   |
      | diff examples/sohar/objects examples/sohar/objects                         | 0    | 0 changes        |
      | diff examples/sohar/objects examples/los-santos/objects                    | 0    | team head-office: added |
      | diff examples/sohar/objects examples/sohar/settings                        | 1    | no field "kind"  |
      | diff examples/sohar/objects examples/sohar/objects --json                  | 0    | []               |
      | diff examples/sohar/objects                                                | 2    | give 2 paths     |
      | check examples/sohar/objects --json                                        | 0    | "errors": []     |
      | check examples/sohar/objects --in-force examples/sohar/objects             | 0    | 0 errors, 0 changes |
      | check examples/sohar/objects --in-force examples/los-santos/objects --json | 0    | "changes": [{    |
      | check examples/sohar/objects --in-force examples/sohar/settings            | 2    | in force is invalid |
      | compose examples/sohar/objects --revision 2 --based-on 1                   | 0    | "based_on":1     |
      | compose examples/sohar/objects --revision 2 --based-on 2                   | 2    | must be above    |
      | compose examples/sohar/objects --revision 2                                | 2    | --base           |
      | compose examples/sohar/objects --revision 2 --base README.md               | 2    | not JSON         |
      | compose examples/sohar/settings --revision 2 --based-on 1                  | 1    | no field "kind"  |
      | schema set                                                                 | 0    | "$schema"        |

  Scenario Outline: A changed object is told in words, with what to expect
    When <old> becomes <new> in the objects of an example
    Then the diff names one change of <where> and expects "<effect>"

    Examples:
      | old                  | new               | where                       | effect                       |
      | "version": "1"       | "version": "2"    | model draft-large: version  | new weights one after        |
      | "queue_limit": 500   | "queue_limit": 5  | policy generations: queue_limit | refuses requests sooner  |
      | "max_loads": 2       | "max_loads": 1    | store weights: max_loads    | keep to the new rate         |
      | "checks_fencing": true | "checks_fencing": false | service draft: checks_fencing | an old order       |

  Scenario Outline: A set is compared with the one that entries were given
    Given 2 entries, of which the first cuts streams after 5 tokens
    When the command <line> runs with the address of the configuration service
    Then the command ends with <code> and shows "<text>"

    Examples:
      | line                                             | code | text                       |
      | diff examples/sohar/objects --store STORE        | 0    | service assistant: removed |
      | diff examples/sohar/objects --store STORE --json | 0    | "before": "removed"        |
      | check examples/sohar/objects --store STORE       | 0    | 20 objects, 0 errors,      |
      | check examples/sohar/objects --store 127.0.0.1:1 | 2    | store 127.0.0.1:1          |
      | diff examples/sohar/objects --store 127.0.0.1:1  | 2    | store 127.0.0.1:1          |

  Scenario: A set that is made from another one carries its history
    When set 1, set 2 made from it and set 3 made from that are composed
    Then set 3 names both in its history
    And an entry that holds set 1 takes set 3

  Scenario: A set over a megabyte is written in parts
    Given an example set with 3000 more models
    Then compose refuses to write it as one value
    And compose writes parts that make the same set again

  Scenario: A new key is known by its hash and shown nowhere else
    When the command key runs
    Then the printed hash is that of the printed key

  Scenario: The demonstration ends with the three measures
    When the command demo runs
    Then the command ends with 0 and shows "token gap p99"
    And the demonstration went over 2 connections and ran one action

  Scenario: An answer goes on through another entry after a cut
    Given 2 entries, of which the first cuts streams after 5 tokens
    When the ask command asks both for 12 tokens
    Then it prints tokens 1 to 12 of one generation and ends with 0

  Scenario Outline: An answer that is not whole is told so
    Given 2 entries, of which the first cuts streams after 5 tokens
    When the ask command asks with <fault>
    Then the command ends with <code> and shows "<text>"

    Examples:
      | fault             | code | text            |
      | a wrong key       | 1    | not_allowed     |
      | an unknown model  | 1    | unknown_service |
      | no key            | 2    | --key           |

  Scenario: Operators see a table of entries and the state of one
    Given 2 entries, of which the first cuts streams after 5 tokens
    Then the status command shows both as ready
    And the dump command shows the state without secrets
