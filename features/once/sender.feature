Feature: An outcome is decided where the bytes leave

  Scenario Outline: A call is reported as not run only if it cannot have run
    Given a target where <what happens>
    When a sender sends it an action
    Then the sender reports "<outcome>" with code "<code>"

    Examples: before the first write
      | what happens                        | outcome | code               |
      | nothing listens                     | not_run | target_unreachable |
      | no connection is accepted           | not_run | target_unreachable |
      | an answer comes before the request  | not_run | target_unreachable |
      | the check right before the write fails | not_run | key_expired     |
      | the path cannot be sent             | not_run | target_unreachable |
      | a header cannot be sent             | not_run | target_unreachable |

    Examples: from the first write to the answer
      | what happens                        | outcome | code      |
      | the connection is closed at once    | unknown | no_answer |
      | a part of the request is read       | unknown | no_answer |
      | the request is read and dropped     | unknown | no_answer |
      | the request is read in silence      | unknown | no_answer |
      | the answer is not HTTP              | unknown | no_answer |

    Examples: within the answer
      | what happens                        | outcome | code      |
      | half of the head arrives            | unknown | no_answer |
      | half of the body arrives            | unknown | no_answer |
      | the last chunk is missing           | unknown | no_answer |
      | the body has no length              | unknown | no_answer |
      | the length is not a number          | unknown | no_answer |
      | half of a refusal arrives           | unknown | no_answer |
      | only an interim answer arrives      | unknown | no_answer |
      | the body is too large               | done    | answer_too_large |

    Examples: refusals and other whole answers
      | what happens                        | outcome | code |
      | it refuses after reading            | not_run |      |
      | it refuses before reading           | not_run |      |
      | it answers 503                      | unknown |      |
      | it answers 429                      | unknown |      |
      | it answers 504                      | unknown |      |
      | it answers 500                      | failed  |      |
      | it answers 409                      | failed  |      |
      | it answers 200                      | done    |      |
      | it answers 204                      | done    |      |
      | it answers 200 that claims not to have run | done |  |

  Scenario: A late answer to one call never reaches another
    Given a target where the first answer is late and each names its request
    When a sender sends it two actions, the first without patience
    Then the first is "unknown" and the second got its own answer
