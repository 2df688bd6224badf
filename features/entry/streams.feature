Feature: Streams through entries when engines or callers fail

  Background:
    Given the shared stream fleet of 2 entries and 2 engines

  Scenario Outline: A fault of an engine that is hidden from the caller
    Given each engine has the stream fault "<fault>"
    When a stream of 12 tokens is requested
    Then the stream has tokens 1 to 12 of one generation and its end event
    And the engines started <begun> generations in total

    Examples:
      | fault                                     | begun |
      | {"cut_after": 5}                          | 1     |
      | {"end_after": 5}                          | 1     |
      | {"stall_after": 5}                        | 1     |
      | {"duplicate": true}                       | 1     |
      | {"skip": 6}                               | 1     |
      | {"skip": 12}                              | 1     |
      | {"skip": 12, "token_seconds": 0.0}        | 1     |
      | {"cross": 6}                              | 1     |
      | {"cross": 1}                              | 1     |
      | {"late": 6}                               | 1     |
      | {"cut_after": 5, "refuse_resume": 3}      | 1     |
      | {"cut_after": 5, "silent_connections": 0} | 1     |
      | {"pause_after": 5, "pause_seconds": 3.0}  | 1     |
      | {"end_after": 0}                          | 1     |
      | {"cut_after": 0}                          | 1     |

  Scenario: A generation that one engine refuses runs on another engine
    Given the first engine has the stream fault "{"refuse": true}"
    When 6 streams of 3 tokens are requested
    Then each stream is complete and the first engine started none

  Scenario: A generation that all engines refuse is reported as not run
    Given each engine has the stream fault "{"refuse": true}"
    When a stream of 3 tokens is requested
    Then the stream response is 503 "refused" with outcome "not_run" and Retry-After

  Scenario: A request that an engine rejects as invalid is reported as failed
    Given each engine has the stream fault "{"bad_request": true}"
    When a stream of 3 tokens is requested
    Then the stream response is 400 "engine_rejected" with outcome "failed"

  Scenario: A generation lost before its first token is restarted on another engine
    Given each engine has the stream fault "{"die_after": 0}"
    When the second engine has no stream fault
    And 4 streams of 3 tokens are requested
    Then each stream is complete

  Scenario Outline: A generation that cannot be resumed is reported as lost
    Given each engine has the stream fault "<fault>"
    When a stream of 12 tokens is requested
    Then the stream has 5 tokens of one generation and is reported lost after 5

    Examples:
      | fault                |
      | {"die_after": 5}     |
      | {"restart_after": 5} |

  Scenario: A lost stream is restarted for a caller that allows restarts
    Given the stream engine that serves next has the fault "{"die_after": 5}"
    When a stream of 12 tokens is requested with restarts allowed
    Then the stream voids 5 tokens and has tokens 1 to 12 of another generation

  Scenario Outline: A response that is not streamed is complete despite a fault of an engine
    Given the stream engine that serves next has the fault "<fault>"
    When a response of 8 tokens is requested without streaming
    Then the response has 8 tokens of one generation and the usage

    Examples:
      | fault            |
      | {"die_after": 5} |
      | {"cut_after": 5} |
      | {"end_after": 8} |
      | {}               |

  Scenario: A caller resumes a stream while its first entry still relays it
    When a stream of 40 tokens is read up to 5
    And the caller resumes the stream through the other entry
    And the first stream connection is closed
    Then the stream has tokens 1 to 40 of one generation and its end event
    And the engines started 1 generations in total

  Scenario Outline: A generation is cancelled when its caller disconnects, unless it is to be kept
    When a stream of 100 tokens is read up to 5, <option>
    And the first stream connection is closed
    Then the generation of the stream is <state>

    Examples:
      | option                | state     |
      | not asking to keep it | cancelled |
      | asking to keep it     | running   |

  Scenario: A caller that does not read delays no other stream and takes little memory
    When a stream of 20000 tokens is requested and not read
    And a stream of 12 tokens is requested
    Then the stream has tokens 1 to 12 of one generation and its end event
    And the memory of the entry has grown by less than 16 MiB
    And the unread stream is complete once it is read

  Scenario Outline: An invalid resume handle is refused
    When a stream of 12 tokens is requested
    And the stream is resumed with <handle>
    Then the stream response is <status> "<code>" with outcome "<outcome>"

    Examples:
      | handle             | status | code          | outcome |
      | a forged handle    | 400    | bad_signature | not_run |
      | no handle          | 400    | bad_signature | not_run |
      | another team's key | 401    | not_allowed   | not_run |
      | a negative number  | 400    | bad_signature | not_run |
