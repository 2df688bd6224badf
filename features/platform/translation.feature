Feature: The platform's names, formats and calls

  Scenario Outline: What a route type lets the gateway repeat
    When the platform's route has "<type>" and resume "<resume>"
    Then the gateway's route repeats "<repeat>" and streams "<streams>"

    Examples:
      | type           | resume | repeat | streams |
      | idempotent     | no     | safe   | no      |
      | non_idempotent | no     | once   | no      |
      | streaming      | no     | once   | yes     |
      | streaming      | yes    | resume | yes     |
      | of a new kind  | no     | once   | no      |

  Scenario: A route that is split, with times in milliseconds
    When the platform's route is split 90 to 10 with 39000 ms and 1800 ms
    Then the gateway's route has shares of 90 and 10, 39 s and 1.8 s

  Scenario Outline: The longest prefix of a host selects the route
    Given the platform's routes "/a/ /a/b/ /c/" of host "One.example"
    Then host "<host>" and path "<path>" select "<prefix>"

    Examples:
      | host        | path   | prefix |
      | one.example | /a/x   | /a/    |
      | one.example | /a/b/x | /a/b/  |
      | one.example | /a/bx  | /a/    |
      | one.example | /ab/x  | none   |
      | two.example | /a/x   | none   |

  Scenario Outline: Headers of a caller
    When a caller sends the platform's header "<name>" with "<value>"
    Then the request's <field> is "<read>"

    Examples:
      | name                        | value               | field              | read    |
      | Kingcupfront-Deadline-Ms    | 1500                | timeout_seconds    | 1.5     |
      | Kingcupfront-Deadline-Ms    | soon                | timeout_seconds    | None    |
      | Kingcupfront-Token-Usage    | 1460,80             | prompt_tokens      | 1460    |
      | Kingcupfront-Token-Usage    | 1460,80             | max_output_tokens  | 80      |
      | Kingcupfront-Token-Usage    | many                | prompt_tokens      | 0       |
      | Kingcupfront-Length-Hint    | 40                  | length_hint        | 40      |
      | Kingcupfront-Prefix-Hash    | 5c1e:800,91bd:410   | prompt_part_ids    | ('5c1e', '91bd') |
      | Authorization               | Token abc           | key                | abc     |
      | Authorization               | Bearer abc          | key                | None    |
      | Last-Event-Id               | 12                  | last_event_id      | 12      |

  Scenario Outline: What a reply's headers say
    When a server replies <status> with the platform's header "<name>"
    Then the reply is signed "<signed>" and not run "<not_run>"

    Examples:
      | status | name                          | signed | not_run |
      | 200    | Kingcupfront-Server-Signature | yes    | no      |
      | 200    | X-Else                        | no     | no      |
      | 503    | Kingcupfront-Not-Executed     | no     | yes     |
      | 503    | X-Else                        | no     | no      |
      | 421    | X-Else                        | no     | yes     |

  Scenario Outline: Reports with missing or absurd fields
    When a model server reports <report>
    Then the report is <read>

    Examples:
      | report                                                   | read     |
      | {"active": 1, "kv_used": 5}                              | taken    |
      | {"active": 1, "kv_used": 5, "held": 3, "extra": []}      | taken    |
      | {"active": 1, "kv_used": 5, "runs": [["a", 9, 0, 5]]}    | taken    |
      | {"active": 1, "kv_used": 5, "runs": [["a", 9]]}          | refused  |
      | {"active": "x", "kv_used": 5}                            | refused  |
      | {"kv_used": 5}                                           | refused  |
      | []                                                       | refused  |
      | null                                                     | refused  |

  Scenario: Runs without events are prompts that are still read
    When a model server reports {"active": 3, "kv_used": 5, "runs": [["a", 9, 0, 5], ["b", 9, 4, 5], ["c", 9, 0, 5]]}
    Then the report has 2 prompts that are still read

  Scenario Outline: Answers to a reservation
    When a model server answers a reservation with <status> and <body>
    Then the lease is <lease>

    Examples:
      | status | body                  | lease   |
      | 200    | {"retention": "l-7"}  | l-7     |
      | 200    | {"retention": 7}      | 7       |
      | 200    | {}                    | refused |
      | 200    | null                  | refused |
      | 503    | null                  | none    |
      | 503    | {"error": "no room"}  | none    |
      | 429    | null                  | none    |

  Scenario Outline: Settings files
    When the platform's settings file <is>
    Then the settings are <read>

    Examples:
      | is                      | read    |
      | is whole                | taken   |
      | has fields of its own   | taken   |
      | lacks the bounds        | taken   |
      | lacks the store         | refused |
      | is no TOML              | refused |
      | has a name for an address | refused |
      | is not there            | refused |

  Scenario: Nothing but the adapter knows the platform's names
    Then no source outside the adapter holds a name of the platform
