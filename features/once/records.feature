Feature: Records of idempotency keys are bounded and kept until the keys expire

  Scenario: A full table of records refuses new keys and evicts no record
    Given a table of records for 2 keys
    When calls with keys "a b" have run
    Then a call with key "c" is refused with "too_many_keys"
    And calls with keys "a b" return stored results

  Scenario: A record is kept until its key expires and then makes room for another
    Given a table of records for 1 keys
    When calls with keys "a" have run
    And 9 seconds of the 10 that a record is kept have passed
    Then calls with keys "a" return stored results
    When 2 seconds of the 10 that a record is kept have passed
    Then calls with keys "b" run

  Scenario: Bodies over the limit are evicted, the oldest first, and outcomes are kept
    Given a table of records for 9 keys with 10 bytes for bodies
    When calls with keys "a b c" and responses of 4 bytes have run
    Then only the results of keys "b c" have their bodies

  Scenario: A call that ends with an unexpected exception is stored as unknown
    Given a table of records for 9 keys
    When the call with key "a" raises an unexpected exception
    Then calls with keys "a" return the outcome "unknown"

  Scenario Outline: A caller's key contains its creation time
    When a caller's key is <key>
    Then its creation time is <second>

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
