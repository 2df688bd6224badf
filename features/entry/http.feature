Feature: HTTP requests of callers are limited in size and time

  Background:
    Given an http listener with small limits

  Scenario Outline: A request that breaks a rule gets a typed error
    When an http caller sends <request>
    Then the http response is <status> with the typed error "<code>"
    And another http caller on an open connection is served

    Examples:
      | request                                       | status | code              |
      | a request line of 9000 bytes                  | 414    | line_too_long     |
      | a header of 40000 bytes                       | 431    | headers_too_large |
      | 2000 headers                                  | 431    | headers_too_large |
      | 150 small headers                             | 431    | headers_too_large |
      | headers without an end                        | 400    | truncated         |
      | no version                                    | 400    | malformed         |
      | bytes that are not a request                  | 400    | malformed         |
      | a header without a colon                      | 400    | malformed         |
      | a header with a space in its name             | 400    | malformed         |
      | a folded header                               | 400    | malformed         |
      | a content length of "5x"                      | 400    | malformed         |
      | a content length of "-5"                      | 400    | malformed         |
      | a content length of "+5"                      | 400    | malformed         |
      | two content lengths                           | 400    | malformed         |
      | a content length and a chunked body           | 400    | malformed         |
      | an unknown transfer coding                    | 400    | malformed         |
      | a chunk without a valid size                  | 400    | truncated         |
      | half of its body                              | 400    | truncated         |
      | half of a chunked body                        | 400    | truncated         |
      | a body over the limit                         | 413    | too_large         |
      | a chunked body over the limit                 | 413    | too_large         |
      | headers byte by byte                          | 408    | request_timeout   |
      | a body byte by byte                           | 408    | request_timeout   |
      | an unknown path                               | 404    | no_route          |
      | an unknown method                             | 405    | no_route          |
      | a request that raises an unexpected exception | 500    | internal_error    |
      | a body that the handler does not read         | 401    | not_allowed       |

  Scenario: A connection that stays idle is closed without a response
    When an http caller opens a connection and sends nothing
    Then the http connection is closed without a response

  Scenario: A caller that stops reading is disconnected and its task ends
    When an http caller requests an endless response and reads nothing
    Then the task of the http response has ended

  Scenario: Pipelined requests are answered in order
    When an http caller pipelines 5 requests on one connection
    Then the http responses match the requests, in order

  Scenario Outline: A listener with TLS serves the clients that the settings allow
    Given an http listener with TLS and <clients>
    When an http caller connects over TLS with <certificate>
    Then the TLS caller <result>

    Examples:
      | clients                    | certificate        | result     |
      | any client                 | no certificate     | is served  |
      | clients with a certificate | a certificate      | is served  |
      | clients with a certificate | no certificate     | is refused |
      | any client                 | plain text instead | is refused |

  Scenario: A TLS handshake that does not complete is cut off
    Given an http listener with TLS and any client
    When an http caller opens a connection and sends nothing
    Then the http connection is closed without a response
