Feature: Bounds on what a caller may send

  Background:
    Given an http listener with small bounds

  Scenario Outline: A request that breaks a rule
    When an http caller sends <request>
    Then the http answer is <status> with the typed error "<code>"
    And another http caller on an open connection is served

    Examples:
      | request                               | status | code              |
      | a request line of 9000 bytes          | 414    | line_too_long     |
      | a header of 40000 bytes               | 431    | headers_too_large |
      | 2000 headers                          | 431    | headers_too_large |
      | 150 small headers                     | 431    | headers_too_large |
      | headers without an end                | 400    | truncated         |
      | no version                            | 400    | malformed         |
      | bytes that are no request             | 400    | malformed         |
      | a header without a colon              | 400    | malformed         |
      | a header with a space in its name     | 400    | malformed         |
      | a continued header                    | 400    | malformed         |
      | a content length of "5x"              | 400    | malformed         |
      | a content length of "-5"              | 400    | malformed         |
      | a content length of "+5"              | 400    | malformed         |
      | two content lengths                   | 400    | malformed         |
      | a content length and a chunked body   | 400    | malformed         |
      | a transfer coding that is not known   | 400    | malformed         |
      | a chunk of no size                    | 400    | truncated         |
      | half of its body                      | 400    | truncated         |
      | half of a chunked body                | 400    | truncated         |
      | a body over the limit                 | 413    | too_large         |
      | a chunked body over the limit         | 413    | too_large         |
      | headers byte by byte                  | 408    | request_timeout   |
      | a body byte by byte                   | 408    | request_timeout   |
      | an unknown path                       | 404    | no_route          |
      | an unknown method                     | 405    | no_route          |
      | what the code does not expect         | 500    | internal_error    |
      | a body that nobody reads              | 401    | not_allowed       |

  Scenario: A connection that stays idle is closed without an answer
    When an http caller opens a connection and sends nothing
    Then the http connection is closed without an answer

  Scenario: A caller that stops reading is cut off and frees its task
    When an http caller asks for an endless answer and reads nothing
    Then the http answer's task has ended

  Scenario: Requests on one connection are each answered in order
    When an http client pipelines 5 requests on one connection
    Then the http answers are those of the requests, in order

  Scenario Outline: TLS from the settings
    Given an http listener with TLS and <clients>
    When an http caller with <certificate> asks over TLS
    Then the TLS caller <result>

    Examples:
      | clients                 | certificate         | result       |
      | any client              | no certificate      | is served    |
      | certified clients only  | a certificate       | is served    |
      | certified clients only  | no certificate      | is refused   |
      | any client              | plain text          | is refused   |

  Scenario: A TLS handshake that never ends is bounded
    Given an http listener with TLS and any client
    When an http caller opens a connection and sends nothing
    Then the http connection is closed without an answer
