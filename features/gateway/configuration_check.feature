Feature: A check of a configuration before it is published

  # A gateway loads a configuration whose fields are valid, also if an entry can
  # never apply; callers notice only when requests are rejected.

  Scenario Outline: An entry that can never apply, or limits that contradict, are found
    Given a sound configuration of the platform
    When <path> of the configuration becomes <value>
    Then the check finds just "<code>" at "<subject>"

    Examples: Entries that can never apply
      | path                      | value                                  | code                  | subject         |
      | routes.1.prefix           | "/answers/"                            | shadowed_route        | route drafts    |
      | routes.1.prefix           | "drafts/"                              | unreachable_route     | route drafts    |
      | routes.1.host             | "site.example:80"                      | unreachable_route     | route drafts    |
      | routes.1.host             | ""                                     | unreachable_route     | route drafts    |
      | routes.2.service          | null                                   | route_without_service | route open      |
      | routes.2.service          | "dsk"                                  | unknown_service       | route open      |
      | routes.1.backends.0.weight | -1                                    | unusable_weight       | route drafts    |
      | routes.1.backends         | [{"service": "desk", "weight": 0}, {"service": "lab", "weight": 0}] | unusable_weight | route drafts |
      | routes.1.backends         | [{"service": "desk"}]                  | unused_service        | service lab     |
      | services.1.name           | "desk"                                 | duplicate_service     | service desk    |
      | tenants.1.name            | "north"                                | duplicate_team        | team north      |
      | tenants.1.api_keys        | []                                     | team_without_key      | team south      |
      | tenants.1.api_keys        | ["key-north"]                          | duplicate_key         | team north      |
      | tenants                   | []                                     | route_without_caller  | route answers   |
      | routes.0.allowed_regions  | ["east", "moon"]                       | region_without_zone   | route answers   |
      | tenants.1.allowed_regions | ["moon"]                               | no_common_region      | team south      |
      | routes.0.allowed_regions  | ["north"]                              | region_without_target | route answers   |
      | services.2                | {"name": "more"}                       | service_without_target | service more   |

    Examples: Limits that contradict one another
      | path                      | value                                  | code                  | subject         |
      | routes.0.timeout_ms       | 900                                    | timeout_below_objective | route answers |
      | routes.0.timeout_ms       | 0                                      | impossible_timeout    | route answers   |
      | routes.0.max_attempts     | 0                                      | no_execution          | route answers   |
      | routes.0.max_attempts     | 3                                      | attempts_above_targets | route answers  |
      | routes.1.max_attempts     | 1                                      | resume_without_execution | route drafts |
      | limits.max_body_bytes     | 0                                      | impossible_limit      | limits          |
      | limits.idle_timeout_ms    | -1                                     | impossible_limit      | limits          |
      | services.1.engine.slots   | 0                                      | impossible_capacity   | service lab     |
      | version                   | 7                                      | version_not_newer     | version         |

  Scenario: A sound configuration has no findings
    Given a sound configuration of the platform
    Then the check finds nothing

  Scenario Outline: What a gateway would not load is found by the same validation
    Given a sound configuration of the platform
    When <path> of the configuration becomes <value>
    Then the check and the load both find it invalid at "<subject>"
    And no key stands in the report

    Examples:
      | path                      | value            | subject                  |
      | routes.0.timeout_ms       | "soon"           | routes.0.timeout_ms      |
      | routes.0.allowed_regions  | "east"           | routes.0.allowed_regions |
      | tenants.1.api_keys        | "key-south"      | tenants.1.api_keys       |
      | version                   | null             | version                  |

  Scenario: Rules without what they need are named as not applied
    Given a sound configuration of the platform
    And neither settings nor a store
    Then the check names as not applied
      | code                   |
      | attempts_above_targets |
      | no_common_region       |
      | region_without_target  |
      | region_without_zone    |
      | service_without_target |
      | version_not_newer      |

  Scenario Outline: Each difference from the version in force is told, without keys
    Given a sound configuration of the platform
    When <path> of the configuration becomes <value>
    Then the differences are "<changes>"
    And no key stands in the report

    Examples:
      | path                  | value                    | changes                                                   |
      | routes.0.timeout_ms   | 5000                     | route answers: timeout: 4 -> 5                            |
      | routes.0.name         | "replies"                | route answers: removed; route replies: added              |
      | routes.1.backends.0.weight | 2                   | route drafts: shares: desk=9, lab=1 -> desk=2, lab=1      |
      | services.1.engine.slots | 9                      | service lab: slots: 8 -> 9                                |
      | tenants.1.priority    | 0                        | team south: priority: 1 -> 0                              |
      | tenants.1.api_keys    | ["key-west"]             | team south: keys: <south> -> <west>                       |
      | limits.max_body_bytes | 9                        | limits: body_bytes: 4194304 -> 9                          |
      | tenants               | null                     | keys: used: yes -> no; team north: removed; team south: removed |

  Scenario Outline: The commands end with their exit code
    Given a sound configuration of the platform
    And the platform's store holds version 7 and the targets
    When <path> of the configuration becomes <value>
    And the command <line> runs on the configuration
    Then the command ends with <code> and shows "<text>"
    And no key stands in the report

    Examples: 0 without findings, 1 with findings, 2 if it could not be run
      | path     | value | line                                                        | code | text                     |
      | version  | 8     | check --platform platform NEW                               | 0    | 0 errors                 |
      | version  | 8     | check --platform platform NEW --settings SETTINGS --store STORE | 0 | 0 errors, 1 changes     |
      | version  | 8     | check --platform platform NEW --in-force OLD --json         | 0    | "errors": []             |
      | version  | 7     | check --platform platform NEW --in-force OLD                | 1    | [version_not_newer]      |
      | version  | 7     | check --platform platform NEW --store STORE                 | 1    | [version_not_newer]      |
      | version  | null  | check --platform platform NEW                               | 1    | [invalid]                |
      | version  | null  | check --platform platform NEW --json                        | 1    | "code": "invalid"        |
      | version  | 8     | diff --platform platform OLD NEW                            | 0    | version: number: 7 -> 8  |
      | version  | 8     | diff --platform platform NEW --store STORE --json           | 0    | "after": "8"             |
      | version  | 7     | diff --platform platform OLD NEW                            | 1    | 1 errors, 0 changes      |
      | version  | 8     | diff --platform platform NEW                                | 2    | give 2 paths             |
      | version  | 8     | check --platform platform NEW --store 127.0.0.1:1           | 2    | store 127.0.0.1:1        |
      | version  | 8     | check --platform platform NEW --in-force BROKEN             | 2    | in force is invalid      |
      | version  | 8     | check --platform other NEW                                  | 2    | unknown platform         |
      | version  | 8     | check --platform platform NEW OLD                           | 2    | give one file            |
      | version  | 8     | check NEW --settings SETTINGS                               | 2    | needs --platform         |
      | version  | 8     | check --platform platform NEW --settings BROKEN             | 2    | BROKEN                   |
