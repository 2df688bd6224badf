Feature: The administration API

  Background:
    Given one administered entry with 3 engines and a stream in progress

  Scenario Outline: Each resource answers JSON
    Then the resource <path> answers 200 with <field> like <value>

    Examples:
      | path                    | field                | value           |
      | /health                 | status               | ok              |
      | /ready                  | ready                | True            |
      | /admin/v1               | resources.0          | /admin/v1/      |
      | /admin/v1/status        | revision             | 1               |
      | /admin/v1/status        | requests             | 1               |
      | /admin/v1/configuration | objects.total        | 5               |
      | /admin/v1/configuration | based_on             | 0               |
      | /admin/v1/configuration | objects.items.0.kind | model           |
      | /admin/v1/refusals      | items                | []              |
      | /admin/v1/targets       | total                | 4               |
      | /admin/v1/targets       | items.0.service      | assistant       |
      | /admin/v1/peers         | items.0.id           | other           |
      | /admin/v1/peers         | items.0.listed       | True            |
      | /admin/v1/teams         | items.0.requests_by_service.assistant | 1 |
      | /admin/v1/requests      | items.0.team         | north           |
      | /dump                   | configuration.revision | 1             |
      | /dump                   | runtime.loop         | gevent.libev.   |
      | /dump                   | runtime.backend      | epoll           |

  Scenario: Metrics are in the text format of Prometheus
    Then the metrics can be parsed

  Scenario Outline: Pages are bounded and go on where the last one ended
    Then pages of <limit> rows of /admin/v1/targets show each target once

    Examples:
      | limit |
      | 1     |
      | 2     |
      | 1000  |

  Scenario Outline: A bad limit is refused
    Then /admin/v1/targets with the limit <limit> answers 400 with bad_input

    Examples:
      | limit |
      | 0     |
      | -1    |
      | x     |
      | 1001  |
      | 99999 |
      | ٣     |

  Scenario: A refused set is shown with its reason
    Given an administered entry of its own
    When a set is published that names no known kind
    Then the resource /admin/v1/refusals soon holds revision 2
    And the resource /admin/v1/configuration answers 200 with revision like 1

  Scenario: An unknown path is answered in JSON
    Then the path /nowhere answers 404 in JSON

  Scenario: Nothing can be changed
    Then no method but GET and HEAD is answered

  Scenario: No secret is in any answer or log
    Then no answer and no log holds a secret
