Feature: Checks of a whole set of objects

  Scenario Outline: An error is found with its file, line, path and hint
    Given a sound set of objects in files
    When the object file gets the line <text>
    Then the check finds <code> in line 2 at <path>
    And the hint of the check holds "<hint>"

    Examples: Fields
      | text                                                                      | code              | path                                          | hint                 |
      | {"kind": "place", "name": "b", "region": "r", "regio": 1}                 | unknown_field     | place b.regio                                 | 'region'             |
      | {"kind": "place", "name": "b"}                                            | missing_field     | place b.region                                |                      |
      | {"kind": "plaice", "name": "b"}                                           | unknown_kind      | plaice b.kind                                 | 'place'              |
      | {"name": "b"}                                                             | missing_field     | b.kind                                        | known: model         |
      | {"kind": "place", "name": "B b", "region": "r"}                           | bad_value         | place B b.name                                | small letters        |
      | {"kind": "team", "name": "b", "key_hashes": ["1f"]}                       | bad_value         | team b.key_hashes.0                           | kingcupfront key     |
      | {"kind": "policy", "name": "b", "favours": "gap"}                         | bad_value         | policy b.favours                              | 'gaps'               |
      | {"kind": "service", "name": "b", "type": "plain", "actions": [{"pth": 1}]} | unknown_field    | service b.actions.0.pth                       | 'path'               |
      | {"kind": "team", "name": "b", "priority": 1001}                           | bad_value         | team b.priority                               |                      |

    Examples: Names
      | text                                                                      | code              | path                                          | hint                 |
      | {"kind": "team", "name": "b", "services": ["assistent"]}                  | dangling_name     | team b.services.0                             | 'assistant'          |
      | {"kind": "service", "name": "b", "type": "model", "model": "larg"}        | dangling_name     | service b.model                               | 'large'              |
      | {"kind": "service", "name": "b", "type": "plain", "policy": "x"}          | dangling_name     | service b.policy                              | known: slow          |
      | {"kind": "place", "name": "b", "region": "r", "latency_seconds_by_place": {"eas": 1}} | dangling_name | place b.latency_seconds_by_place.eas  | 'east'               |
      | {"kind": "model", "name": "b", "store": "weights"}                        | dangling_name     | model b.store                                 |                      |
      | {"kind": "model", "name": "large"}                                        | duplicate_name    | model large.name                              | the first is at      |
      | {"kind": "policy", "name": "b", "based_on": "b"}                          | cycle             | policy b.based_on                             | remove "based_on"    |
      | {"kind": "team", "name": "b", "key_hashes": ["HASH"]}                     | duplicate_key     | team b.key_hashes.0                           | keys of its own      |
      | {"kind": "policy", "name": "b", "routing": "randm"}                       | unknown_routing   | policy b.routing                              | 'random'             |

    Examples: Limits
      | text                                                                      | code              | path                                          | hint                 |
      | {"kind": "service", "name": "b", "type": "model"}                         | missing_field     | service b.type                                |                      |
      | {"kind": "service", "name": "b", "type": "plain", "model": "large"}       | impossible        | service b.model                               | set the type         |
      | {"kind": "policy", "name": "b", "first_token_seconds": 0.02}              | impossible_limit  | policy b.first_token_seconds                  |                      |
      | {"kind": "service", "name": "b", "type": "plain", "timeout_seconds": 0.02} | impossible_limit | service b.timeout_seconds                     |                      |
      | {"kind": "service", "name": "b", "type": "plain", "timeout_seconds": 9, "policy": "slow"} | impossible_limit | service b.timeout_seconds      | policy 'slow'        |
      | {"kind": "service", "name": "b", "type": "plain", "engines_by_role": {"mixed": 1}} | impossible_limit | service b.engines_by_role             |                      |
      | {"kind": "service", "name": "b", "type": "model", "engines_by_role": {"decode": 1}} | impossible_limit | service b.engines_by_role            |                      |
      | {"kind": "team", "name": "b", "tokens_per_second": 3, "max_concurrent": 4} | impossible_limit | team b.tokens_per_second                      | max_concurrent       |
      | {"kind": "team", "name": "b", "services": []}                             | unusable          | team b.services                               |                      |
      | {"kind": "team", "name": "b", "services": ["assistant", "assistant"]}     | duplicate_item    | team b.services.1                             |                      |
      | {"kind": "service", "name": "b", "type": "plain"}                         | unreachable_service | service b                                   | add its name         |
      | {"kind": "service", "name": "b", "type": "plain", "actions": [{"method": "POST"}, {"method": "POST", "path": "/x"}]} | unreachable_action | service b.actions.1.path | longer path first |
      | {"kind": "place", "name": "b", "region": "r", "latency_seconds_by_place": {"b": 1}} | impossible | place b.latency_seconds_by_place.b             |                      |

    Examples: Syntax
      | text                                   | code        | path | hint |
      | {"kind": "place", }                    | syntax      | -    |      |
      | {"kind": "place", "kind": "place"}     | syntax      | -    |      |
      | {"name": tru}                          | syntax      | -    |      |
      | {"name": 1e999}                        | syntax      | -    |      |
      | {"name": "\ud800"}                     | syntax      | -    |      |
      | 7                                      | not_objects | -    |      |

  Scenario: Ten planted errors are found in one run
    Given a set of objects with ten planted errors
    When the check command runs on the set
    Then it ends with 1 and names each of the ten in its line

  Scenario Outline: A policy cycle of any length is found once
    Given a cycle of <count> policies
    Then the check finds the cycle once

    Examples:
      | count |
      | 1     |
      | 2     |
      | 7     |

  Scenario: A set over the limit of its size is found
    Given a sound set of objects in files
    When the object file gets a model with a version of 17 million characters
    Then the check finds too_large in line 1 at -

  Scenario Outline: What cannot be read is an error, not a crash
    Given an object file of the bytes <bytes>
    Then the check finds <code> in line 1 at -

    Examples:
      | bytes      | code        |
      | ff fe 00   | unreadable  |
      | -          | syntax      |
      | 5b 5d 5b 5d | syntax     |
      | 22 61 22   | not_objects |

  Scenario: Damaged and random texts never break the check
    Then 120 random texts each give a report

  Scenario Outline: A published set that does not fit together is refused
    Then a set with <fault> is refused for <code>

    Examples:
      | fault             | code           |
      | a dangling name   | dangling_name  |
      | a double name     | duplicate_name |
      | a cycle           | cycle          |
      | a key of two teams | duplicate_key |
