Feature: Streams through entries when things fail

  Background:
    Given the shared stream fleet of 2 entries and 2 engines

  Scenario Outline: A fault of an engine that a caller does not see
    Given each engine has the stream fault "<fault>"
    When a stream of 12 tokens is asked for
    Then the stream holds tokens 1 to 12 of one generation and its end
    And the engines began <begun> generations in all

    Examples:
      | fault                                        | begun |
      | {"cut_after": 5}                             | 1     |
      | {"end_after": 5}                             | 1     |
      | {"stall_after": 5}                           | 1     |
      | {"duplicate": true}                          | 1     |
      | {"skip": 6}                                  | 1     |
      | {"skip": 12}                                 | 1     |
      | {"skip": 12, "token_seconds": 0.0}           | 1     |
      | {"cross": 6}                                 | 1     |
      | {"cross": 1}                                 | 1     |
      | {"late": 6}                                  | 1     |
      | {"cut_after": 5, "refuse_resume": 3}         | 1     |
      | {"cut_after": 5, "silent_connections": 0}    | 1     |
      | {"pause_after": 5, "pause_seconds": 3.0}     | 1     |
      | {"end_after": 0}                             | 1     |
      | {"cut_after": 0}                             | 1     |

  Scenario: An engine that refuses work is left for another
    Given the first engine has the stream fault "{"refuse": true}"
    When 6 streams of 3 tokens are asked for
    Then each stream is whole and the first engine began none

  Scenario: All engines refuse
    Given each engine has the stream fault "{"refuse": true}"
    When a stream of 3 tokens is asked for
    Then the stream answer is 503 "refused", "not_run", with Retry-After

  Scenario: An engine finds the request wrong
    Given each engine has the stream fault "{"bad_request": true}"
    When a stream of 3 tokens is asked for
    Then the stream answer is 400 "engine_rejected", "failed"

  Scenario: An engine forgets a generation before the first token
    Given each engine has the stream fault "{"die_after": 0}"
    When the second engine has no stream fault
    And 4 streams of 3 tokens are asked for
    Then each stream is whole

  Scenario Outline: A generation that cannot be continued
    Given each engine has the stream fault "<fault>"
    When a stream of 12 tokens is asked for
    Then the stream holds 5 tokens of one generation and is lost after 5

    Examples:
      | fault                |
      | {"die_after": 5}     |
      | {"restart_after": 5} |

  Scenario: A lost stream restarts for a caller that wants it
    Given the stream engine that serves next has the fault "{"die_after": 5}"
    When a stream of 12 tokens is asked for with a restart
    Then the stream voids 5 tokens and holds tokens 1 to 12 of another generation

  Scenario Outline: A plain answer over a lost generation is whole
    Given the stream engine that serves next has the fault "<fault>"
    When a plain answer of 8 tokens is asked for
    Then the plain answer holds 8 tokens of one generation and the usage

    Examples:
      | fault                |
      | {"die_after": 5}     |
      | {"cut_after": 5}     |
      | {"end_after": 8}     |
      | {}                   |

  Scenario: A caller reconnects while its first entry still relays
    When a stream of 40 tokens is read up to 5
    And the caller resumes the stream through the other entry
    And the first stream connection is closed
    Then the stream holds tokens 1 to 40 of one generation and its end
    And the engines began 1 generations in all

  Scenario Outline: A caller leaves
    When a stream of 100 tokens is read up to 5, <wish>
    And the first stream connection is closed
    Then the generation of the stream is <state>

    Examples:
      | wish              | state     |
      | without a wish    | cancelled |
      | asking to keep it | running   |

  Scenario: A slow caller slows only itself
    When a stream of 20000 tokens is asked for and not read
    And a stream of 12 tokens is asked for
    Then the stream holds tokens 1 to 12 of one generation and its end
    And the entry holds little of the unread stream
    And the unread stream is whole when it is read

  Scenario Outline: A resume handle that does not count
    When a stream of 12 tokens is asked for
    And the stream is resumed with <handle>
    Then the stream answer is <status> "<code>", "<outcome>"

    Examples:
      | handle             | status | code          | outcome |
      | a forged handle    | 400    | bad_signature | not_run |
      | no handle          | 400    | bad_signature | not_run |
      | another team's key | 401    | not_allowed   | not_run |
      | a negative number  | 400    | bad_signature | not_run |
