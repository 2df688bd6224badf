Feature: The router follows objects and other entries

  Background:
    Given 2 routing entries and an engine under the policy "round_robin"

  Scenario: The policy of the objects is in force, and the next one too
    Then each entry routes by "round_robin" and knows of 2 entries
    When the routing policy "headroom_v9" is published
    Then each entry routes by "headroom_v9" and knows of 2 entries

  Scenario: A team's limit holds over both entries
    Given the team may have 4 requests in progress
    When 12 callers ask both entries at once
    Then at most 4 were served at any moment and the others got 429
