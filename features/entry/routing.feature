Feature: The router follows the configuration and the other entries

  Background:
    Given 2 routing entries and an engine under the policy "round_robin"

  Scenario: Every entry applies the configured policy and its replacement
    Then each entry routes by "round_robin" and knows of 2 entries
    When the routing policy "headroom_v9" is published
    Then each entry routes by "headroom_v9" and knows of 2 entries

  Scenario: A team's limit applies to all entries together
    Given the team is limited to 4 requests in progress
    When 12 callers send requests to both entries at once
    Then at most 4 requests were served at once and the others got 429
