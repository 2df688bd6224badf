Feature: The set in force in one process

  # Sets are written as their revision, a letter for their content and what
  # they were made from, for example 7a<6a.

  Scenario Outline: A set replaces only one that it was made from
    Given the set <held> is in force <with> histories
    When the set <offered> is offered
    Then the set <after> is in force and the refusal says "<refusal>"

    Examples: with histories
      | held     | with | offered     | after | refusal            |
      | none     | with | 5a          | 5a    |                    |
      | 5a       | with | 6a<5a       | 6a    |                    |
      | 5a       | with | 7a<6a<5a    | 7a    |                    |
      | 5a       | with | 5a          | 5a    |                    |
      | 6a<5a    | with | 5a          | 6a    | is older than 6    |
      | 6a<5a    | with | 6b<5a       | 6a    | another revision 6 |
      | 6a<5a    | with | 7b<5a       | 6a    | based on 5         |
      | 6a<5a    | with | 7b<6b<5a    | 6a    | based on 6         |
      | 7a<6a<5a | with | 6b<5a       | 7a    | was not made from  |
      | 6a<5a    | with | 8a<6b<6a<5a | 8a    |                    |
      | 5a       | with | 90a<89a     | 90a   |                    |
      | 6a<5a    | with | 8a<7a<5a    | 6a    | based on 7         |

    Examples: without histories
      | held  | with    | offered | after | refusal            |
      | 5a    | without | 6a<5a   | 6a    |                    |
      | 6a<5a | without | 5a      | 6a    | is older than 6    |
      | 6a<5a | without | 6b<5a   | 6a    | another revision 6 |
      | 6a<5a | without | 7b<5a   | 6a    | based on 5         |
      | 5a    | without | 7a<6a   | 7a    |                    |

  Scenario Outline: A broken set is refused and the last good one stays
    Given the set 5a is in force with histories
    When a set that <fault> is offered
    Then the set 5a is in force and the refusal says "<refusal>"

    Examples:
      | fault                       | refusal              |
      | is not JSON                 | not JSON             |
      | is nested 100000 deep       | not JSON             |
      | is a list                   | should be a valid    |
      | has an unknown field        | Extra inputs         |
      | names a missing model       | there is no model    |
      | holds NaN                   | not a number         |
      | is based on itself          | not below            |
      | has a history from nowhere  | does not begin       |

  Scenario: Two rivals are both followed by a set made from both
    Given two processes with the sets 6a<5a and 6b<5a in force
    When the set 7a<6a<6b<5a is offered to both
    Then the set 7a is in force in both

  Scenario Outline: A large set is switched as one
    Given a set of 2500000 bytes that is split behind a manifest
    When the manifest is read while <fault>
    Then <result>

    Examples:
      | fault                    | result                             |
      | every part is there      | the whole set is read              |
      | a part is missing        | the set is refused as not there    |
      | a part has other content | the set is refused as not there    |
      | the manifest is damaged  | the set is refused as broken       |

  Scenario: A change between sets leads to the same digest
    When changes between 40 random pairs of sets are sent
    Then each leads from the first set to the second
