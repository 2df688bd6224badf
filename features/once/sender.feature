Feature: The outcome of a call depends on whether its first byte was written

  Scenario Outline: A call is reported as not run only if it cannot have run
    Given a target where <what happens>
    When a sender sends it a call
    Then the sender reports "<outcome>" with code "<code>"

    Examples: before the first write
      | what happens                           | outcome | code               |
      | nothing listens                        | not_run | target_unreachable |
      | no connection is accepted              | not_run | target_unreachable |
      | a response comes before the request    | not_run | target_unreachable |
      | the check before the first write fails | not_run | key_expired        |
      | the path contains a blank              | not_run | target_unreachable |
      | a header contains a line break         | not_run | target_unreachable |

    Examples: from the first write to the response
      | what happens                                         | outcome | code      |
      | the connection is closed at once                     | unknown | no_answer |
      | the connection is closed after a part of the request | unknown | no_answer |
      | the connection is closed after the request           | unknown | no_answer |
      | the request is read and never answered               | unknown | no_answer |
      | the response is not HTTP                             | unknown | no_answer |

    Examples: within the response
      | what happens                         | outcome | code             |
      | the response ends within the headers | unknown | no_answer        |
      | the response ends within the body    | unknown | no_answer        |
      | the last chunk is missing            | unknown | no_answer        |
      | the response has no declared length  | unknown | no_answer        |
      | the declared length is not a number  | unknown | no_answer        |
      | a refusal lacks its last byte        | unknown | no_answer        |
      | only an interim response arrives     | unknown | no_answer        |
      | the response body is too large       | done    | answer_too_large |

    Examples: refusals and other complete responses
      | what happens                                    | outcome | code |
      | it refuses the request after reading it         | not_run |      |
      | it refuses the request before reading it        | not_run |      |
      | it responds with 503                            | unknown |      |
      | it responds with 429                            | unknown |      |
      | it responds with 504                            | unknown |      |
      | it responds with 500                            | failed  |      |
      | it responds with 409                            | failed  |      |
      | it responds with 200                            | done    |      |
      | it responds with 204                            | done    |      |
      | it responds with 200 and claims not to have run | done    |      |

  Scenario: A late response to one call is never taken for the response to another
    Given a target where each response echoes its request and the first is late
    When a sender sends it two calls, the first with a short time-out
    Then the first is "unknown" and the second got its own response
