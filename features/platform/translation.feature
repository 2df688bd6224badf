Feature: Translation between the platform's formats and the gateway

  Scenario Outline: A route type determines which repeats are allowed
    When the platform's route has "<type>" and resume "<resume>"
    Then the gateway's route repeats "<repeat>" and streams "<streams>"

    Examples:
      | type           | resume | repeat | streams |
      | idempotent     | no     | safe   | no      |
      | non_idempotent | no     | once   | no      |
      | streaming      | no     | once   | yes     |
      | streaming      | yes    | resume | yes     |
      | of a new kind  | no     | once   | no      |

  Scenario: A split route, with times in milliseconds
    When the platform's route is split 90 to 10 with a timeout of 39000 ms and a target latency of 1800 ms
    Then the gateway's route has shares of 90 and 10, a timeout of 39 s and an objective of 1.8 s

  Scenario Outline: The longest matching prefix of a host selects the route
    Given the platform's routes "/a/ /a/b/ /c/" of host "One.example"
    Then host "<host>" and path "<path>" select "<prefix>"

    Examples:
      | host        | path   | prefix |
      | one.example | /a/x   | /a/    |
      | one.example | /a/b/x | /a/b/  |
      | one.example | /a/bx  | /a/    |
      | one.example | /ab/x  | none   |
      | two.example | /a/x   | none   |

  Scenario Outline: Headers of a caller's request are parsed
    When a caller sends the platform's header "<name>" with "<value>"
    Then the request's <field> is "<read>"

    Examples:
      | name                     | value             | field              | read             |
      | Kingcupfront-Deadline-Ms | 1500              | timeout_seconds    | 1.5              |
      | Kingcupfront-Deadline-Ms | soon              | timeout_seconds    | None             |
      | Kingcupfront-Token-Usage | 1460,80           | prompt_tokens      | 1460             |
      | Kingcupfront-Token-Usage | 1460,80           | max_output_tokens  | 80               |
      | Kingcupfront-Token-Usage | many              | prompt_tokens      | 0                |
      | Kingcupfront-Length-Hint | 40                | length_hint        | 40               |
      | Kingcupfront-Prefix-Hash | 5c1e:800,91bd:410 | prompt_part_ids    | ('5c1e', '91bd') |
      | Authorization            | Token abc         | key                | abc              |
      | Authorization            | Bearer abc        | key                | None             |
      | Last-Event-Id            | 12                | last_event_id      | 12               |
      | Last-Event-Id            | -1                | last_event_id      | None             |
      | Last-Event-Id            | -1                | invalid_last_event | -1               |

  Scenario Outline: Headers of a server's response are parsed
    When a server replies <status> with the platform's header "<name>"
    Then the reply is signed "<signed>" and not run "<not_run>"

    Examples:
      | status | name                          | signed | not_run |
      | 200    | Kingcupfront-Server-Signature | yes    | no      |
      | 200    | X-Else                        | no     | no      |
      | 503    | Kingcupfront-Not-Executed     | no     | yes     |
      | 503    | X-Else                        | no     | no      |
      | 421    | X-Else                        | no     | yes     |

  # A request may have run although its client takes the status for "not run".
  Scenario Outline: A response that promises more than the server states is told apart
    When a server replies <status> with the platform's header "<name>"
    Then the reply is an unproven refusal "<unproven>"

    Examples:
      | status | name                          | unproven |
      | 408    | Kingcupfront-Server-Signature | yes      |
      | 429    | Kingcupfront-Server-Signature | yes      |
      | 503    | Kingcupfront-Server-Signature | yes      |
      | 503    | Retry-After                   | yes      |
      | 408    | Kingcupfront-Not-Executed     | no       |
      | 429    | Kingcupfront-Not-Executed     | no       |
      | 503    | Kingcupfront-Not-Executed     | no       |
      | 421    | X-Else                        | no       |
      | 400    | Kingcupfront-Server-Signature | no       |
      | 500    | Kingcupfront-Server-Signature | no       |
      | 502    | Kingcupfront-Server-Signature | no       |
      | 504    | Kingcupfront-Server-Signature | no       |
      | 200    | Kingcupfront-Server-Signature | no       |

  # An entry with a field missing or of another type comes from another
  # writer. Used with a default in its place it takes requests that no server
  # answers.
  Scenario Outline: An entry with a field missing or of another type names no server
    When the entry of a server has <field> <value>
    Then the entry names <what>

    Examples:
      | field          | value      | what      |
      | version        | "v1"       | a server  |
      | sequence       | 0          | a server  |
      | warmup_left_ms | 12.5       | a server  |
      | more           | [1]        | a server  |
      | service        | missing    | no server |
      | address        | missing    | no server |
      | zone           | missing    | no server |
      | version        | missing    | no server |
      | slots          | missing    | no server |
      | state          | missing    | no server |
      | warmup_left_ms | missing    | no server |
      | sequence       | missing    | no server |
      | born           | missing    | no server |
      | slots          | "6"        | no server |
      | warmup_left_ms | null       | no server |
      | sequence       | "4"        | no server |
      | born           | "4"        | no server |
      | born           | 4.5        | no server |

  Scenario Outline: Load reports with unknown, missing or invalid fields
    When a model server reports <report>
    Then the report is <outcome>

    Examples:
      | report                                                | outcome  |
      | {"active": 1, "kv_used": 5}                           | accepted |
      | {"active": 1, "kv_used": 5, "held": 3, "extra": []}   | accepted |
      | {"active": 1, "kv_used": 5, "runs": [["a", 9, 0, 5]]} | accepted |
      | {"active": 1, "kv_used": 5, "runs": [["a", 9]]}       | rejected |
      | {"active": "x", "kv_used": 5}                         | rejected |
      | {"kv_used": 5}                                        | rejected |
      | []                                                    | rejected |
      | null                                                  | rejected |

  Scenario: Runs without events count as being in prefill
    When a model server reports {"active": 3, "kv_used": 5, "runs": [["a", 9, 0, 5], ["b", 9, 4, 5], ["c", 9, 0, 5]]}
    Then the report counts 2 runs in prefill

  Scenario Outline: Responses to a reservation
    When a model server responds to a reservation with status <status> and body <body>
    Then the lease is <lease>

    Examples:
      | status | body                 | lease    |
      | 200    | {"retention": "l-7"} | l-7      |
      | 200    | {"retention": 7}     | 7        |
      | 200    | {}                   | rejected |
      | 200    | null                 | rejected |
      | 503    | null                 | none     |
      | 503    | {"error": "no room"} | none     |
      | 429    | null                 | none     |

  Scenario Outline: Settings files with missing or invalid fields
    When the platform's settings file <is>
    Then the settings are <outcome>

    Examples:
      | is                            | outcome  |
      | is complete                   | accepted |
      | has unknown fields            | accepted |
      | lacks the bounds              | accepted |
      | lacks the store               | rejected |
      | is not TOML                   | rejected |
      | has a host name as an address | rejected |
      | does not exist                | rejected |

  Scenario: Only the adapter contains the platform's names
    Then no source outside the adapter contains a name of the platform
