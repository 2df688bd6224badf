Feature: Comparison of routing policies
  Scenario Outline: A run of the bench repeats with its seed
    When the bench runs <policy> twice for 20 seconds with one seed
    Then both runs of the bench have equal measures

    Examples:
      | policy            |
      | least_outstanding |
      | headroom_v9       |

  Scenario: The bench's comparison shows each policy and writes its files
    When the bench compares random and headroom_v9 for 12 seconds
    Then the bench's table has a column for random and headroom_v9
    And the bench wrote a table, CSV and a plot

  Scenario: A modelled engine that runs out of memory preempts and recovers
    Given a modelled engine of 40 blocks of 16 tokens
    When the modelled engine gets 4 jobs of 64 prompt and 200 output tokens
    Then the modelled engine preempted and all 4 jobs are whole
    And the modelled engine has all 40 blocks free

  Scenario: A modelled engine computes a shared prefix once
    Given a modelled engine of 400 blocks of 16 tokens
    When the modelled engine gets a job with a prefix and then another
    Then the second job's first token came sooner in the modelled engine

  Scenario: A modelled engine that dies loses its jobs
    Given a modelled engine of 400 blocks of 16 tokens
    When the modelled engine dies with 3 jobs
    Then 3 jobs of the modelled engine are lost
