Feature: Administration API

  Background:
    Given a shared entry with 3 engines and a stream in progress

  Scenario Outline: Each resource returns its state as JSON
    Then the resource <path> returns 200 and its <field> starts with <value>

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

  Scenario: Metrics are in the Prometheus text format
    Then the metrics can be parsed and show one request in progress

  Scenario Outline: Each page has at most the requested rows and continues after the last one
    Then pages of <limit> rows of /admin/v1/targets show each target once

    Examples:
      | limit |
      | 1     |
      | 2     |
      | 1000  |

  Scenario Outline: A limit that is not a number from 1 to 1000 is rejected
    Then /admin/v1/targets with the limit <limit> returns 400 with bad_input

    Examples:
      | limit |
      | 0     |
      | -1    |
      | x     |
      | 1001  |
      | 99999 |
      | ٣     |

  Scenario: A refused set is listed with the reason
    Given an entry that no other scenario uses
    When a set with an object of an unknown kind is published
    Then the resource /admin/v1/refusals lists revision 2 with a reason
    And the resource /admin/v1/configuration returns 200 and its revision starts with 1

  Scenario: An unknown path returns an error in JSON
    Then the path /nowhere returns 404 with an error in JSON

  Scenario: The administration API is read-only
    Then POST, PUT, PATCH and DELETE return 405 on every path

  Scenario: No response and no log contains a secret
    Then no response and no log contains a secret
