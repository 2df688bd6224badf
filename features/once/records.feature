Feature: What is remembered of keys is bounded, and no live key is forgotten

  Scenario: A full memory refuses new keys and forgets none
    Given a memory for 2 keys
    When calls under keys "a b" have run
    Then a call under key "c" is refused with "too_many_keys"
    And calls under keys "a b" are answered from memory

  Scenario: A key is remembered until its end and then makes room
    Given a memory for 1 keys
    When calls under keys "a" have run
    And 9 seconds pass of the 10 that a key lives
    Then calls under keys "a" are answered from memory
    When 2 seconds pass of the 10 that a key lives
    Then calls under keys "b" run

  Scenario: Bodies over the bound are dropped, the oldest first, outcomes never
    Given a memory for 9 keys with 10 bytes for bodies
    When calls under keys "a b c" with answers of 4 bytes have run
    Then only keys "b c" are remembered with their bodies

  Scenario: A call whose code fails unexpectedly is unknown, not forgotten
    Given a memory for 9 keys
    When the call under key "a" breaks
    Then calls under keys "a" are answered with "unknown"

  Scenario Outline: A caller's key says when it was made
    When a caller's key is <key>
    Then it was made at <second>

    Examples:
      | key                                  | second        |
      | t=1700000000;order                   | 1700000000    |
      | t=1700000000.25;order                | 1700000000.25 |
      | 018bcfe5-6800-7000-8000-000000000000 | 1700000000    |
      | 01HF7YAT00AAAAAAAAAAAAAAAA           | 1700000000    |
      | 01hf7yat00aaaaaaaaaaaaaaaa           | 1700000000    |
      | 018bcfe5-6800-4000-8000-000000000000 | none          |
      | t=soon;order                         | none          |
      | t=1700000000                         | none          |
      | order                                | none          |
