Feature: A change of the configuration in each state that a request can be in

  # A connection that ended without a response to a request that had been read
  # left its caller without knowing whether the request ran.
  Scenario Outline: Each request is answered when the operator <does>
    Given callers whose requests are in these states
      | state                 |
      | head read in part     |
      | body read in part     |
      | waiting for a target  |
      | waiting for room      |
      | sent, no head back    |
      | head passed on        |
      | stream in the middle  |
      | complete, read slowly |
      | sent ahead            |
      | idle, used again      |
    When meanwhile the operator <does>
    And the requests go on
    Then each caller gets its answer
      | state                 | answer   |
      | head read in part     | <head>   |
      | body read in part     | <body>   |
      | waiting for a target  | <target> |
      | waiting for room      | <room>   |
      | sent, no head back    | <sent>   |
      | head passed on        | <begun>  |
      | stream in the middle  | <stream> |
      | complete, read slowly | <slow>   |
      | sent ahead            | <ahead>  |
      | idle, used again      | <idle>   |
    And the gateway counts 0 requests as unanswered

    Examples:
      | does                                   | head | body | target | room | sent | begun | stream | slow | ahead   | idle |
      | moves the routes to other services     | 200  | 200  | 200    | 200  | 200  | 200   | 200    | 200  | 200 200 | 200  |
      | drops the routes                       | 404  | 404  | 200    | 200  | 200  | 200   | 200    | 200  | 200 404 | 404  |
      | drops the services                     | 200  | 200  | 503    | 200  | 200  | 200   | 200    | 200  | 200 200 | 200  |
      | takes the team away                    | 401  | 401  | 200    | 200  | 200  | 200   | 200    | 200  | 200 401 | 401  |
      | takes the key away                     | 401  | 401  | 200    | 200  | 200  | 200   | 200    | 200  | 200 401 | 401  |
      | allows another region alone            | 503  | 503  | 503    | 503  | 200  | 200   | 200    | 200  | 200 503 | 503  |
      | lowers the header bytes                | 200  | 200  | 200    | 200  | 200  | 200   | 200    | 200  | 200 431 | 431  |
      | raises the header bytes                | 200  | 200  | 200    | 200  | 200  | 200   | 200    | 200  | 200 200 | 200  |
      | lowers the body bytes                  | 200  | 200  | 200    | 200  | 200  | 200   | 200    | 200  | 200 413 | 413  |
      | raises the body bytes                  | 200  | 200  | 200    | 200  | 200  | 200   | 200    | 200  | 200 200 | 200  |
      | lowers the header time-out             | 200  | 200  | 200    | 200  | 200  | 200   | 200    | 200  | 200 200 | 200  |
      | raises the header time-out             | 200  | 200  | 200    | 200  | 200  | 200   | 200    | 200  | 200 200 | 200  |
      | lowers the idle time-out               | 200  | 200  | 200    | 200  | 200  | 200   | 200    | 200  | 200 200 | 200  |
      | raises the idle time-out               | 200  | 200  | 200    | 200  | 200  | 200   | 200    | 200  | 200 200 | 200  |
      | publishes ten versions within a second | 200  | 200  | 200    | 200  | 200  | 200   | 200    | 200  | 200 200 | 200  |
      | reloads changed settings               | 200  | 200  | 200    | 200  | 200  | 200   | 200    | 200  | 200 200 | 200  |
      | reloads broken settings                | 200  | 200  | 200    | 200  | 200  | 200   | 200    | 200  | 200 200 | 200  |

  # The time-out of the request before was waited for, although another one had
  # been in force for long: callers that kept to that one found the connection
  # closed.
  Scenario Outline: A connection is kept for the idle time-out in force, after <what>
    Given a site whose idle time-out is 0.5 seconds
    And a caller whose connection has served <what>
    When the idle time-out becomes 8 seconds <when>
    And the connection has then been idle for 1.2 seconds
    Then a request on it gets status 200

    Examples:
      | what             | when                       |
      | a quick request  | while the connection idles |
      | a stream         | during the stream          |
      | no request       | while the connection idles |

  # A caller that had not heard of a lower idle time-out found its connection
  # closed, or sent a request as it was closed.
  Scenario Outline: A connection is kept for an idle time-out that was just lowered, after <what>
    Given a site whose idle time-out is 8.0 seconds
    When the idle time-out becomes 1 seconds before a connection opens
    And a caller connects and has served <what>
    And the connection has then been idle for 1.5 seconds
    Then a request on it gets status 200

    Examples:
      | what            |
      | a quick request |
      | no request      |

  Scenario Outline: Callers may keep to a replaced idle time-out for some seconds
    Given an idle time-out of 8 s was replaced at second 100 and one of 3 s at second 105
    When a connection is idle since second <since> under a time-out of <in force> s
    Then it may be idle for <allowed> s

    Examples:
      | since | in force | allowed |
      | 95    | 2        | 8       |
      | 109   | 2        | 8       |
      | 111   | 2        | 3       |
      | 114   | 2        | 3       |
      | 116   | 2        | 2       |
      | 109   | 20       | 20      |

  # A header was refused with 408 as soon as the idle time-out had passed,
  # although its own time-out had not.
  Scenario: A header that begins late in the idle time-out has its own time-out
    Given a site whose idle time-out is 1.0 seconds
    And a caller whose connection has served a quick request
    When it sends the half of a header after 0.6 seconds and the rest 0.8 seconds later
    Then a request on it gets status 200

  # Guards against a connection that is closed although a request on it is there
  # in time: a busy process finds both the request and the end of the time-out.
  Scenario: A request that arrives within the idle time-out of a busy process is answered
    Given a site whose idle time-out is 0.6 seconds
    And a caller whose connection has served a quick request
    When it sends a request after 0.3 seconds and the process is held up for 0.6 seconds
    Then a request on it gets status 200

  # The connection was closed on a request that had arrived after the process
  # had looked for bytes and before it acted on the end of the time-out.
  Scenario: A request that arrives while a busy process ends the idle time-out is answered
    Given a site whose idle time-out is 0.6 seconds
    And a caller whose connection has served a quick request
    When the process is held up until 0.8 seconds and the request comes before the time-out is acted on
    Then a request on it gets status 200

  # After a refusal without 100 Continue the connection closed without a word,
  # and so the caller's next request was lost.
  Scenario Outline: A refusal in place of 100 Continue is a last response, after the operator <does>
    Given a site whose idle time-out is 6.0 seconds
    And a caller whose connection has served a quick request
    When meanwhile the operator <does>
    And it sends a header that expects 100 Continue
    Then the caller gets the last response <status>

    Examples:
      | does                  | status |
      | drops the routes      | 404    |
      | takes the key away    | 401    |
      | lowers the body bytes | 413    |

  # A connection for which there was no room was closed without the 503 that
  # says so.
  Scenario Outline: A caller beyond a lowered number of connections is refused, <sending>
    Given a site whose idle time-out is 6.0 seconds
    And 8 callers whose requests wait for their targets
    When reloaded settings allow 8 connections
    And a caller connects and sends its request <sending>
    Then the caller gets the last response 503
    And the callers that waited get status 200

    Examples:
      | sending      |
      | at once      |
      | in two parts |
      | a bit later  |

  # Routes that allow one execution. A request is admitted again before it is
  # sent once more, and a stream whose engine was reset goes on in the regions
  # that are allowed by then, or ends without its end.
  Scenario Outline: Requests to faulty targets are answered when the operator <does>
    Given callers whose requests have faulty targets
    When meanwhile the operator <does>
    And the requests go on
    Then each caller gets its answer
      | state             | answer    |
      | silence           | 200       |
      | no length         | 200       |
      | early answer      | <new>     |
      | leaving           | 200       |
      | refusal, leaving  | <again>   |
      | refusal, silence  | <again>   |
      | failure           | 500       |
      | reset             | 502       |
      | stream, silence   | 200       |
      | stream, no length | 200       |
      | stream, leaving   | 200       |
      | stream, reset     | <reset>   |
    And the gateway counts <cut> requests as unanswered

    Examples:
      | does                                   | new | again | reset   | cut |
      | moves the routes to other services     | 200 | 200   | 200     | 0   |
      | drops the routes                       | 404 | 404   | 200     | 0   |
      | drops the services                     | 200 | 200   | 200     | 0   |
      | takes the key away                     | 401 | 401   | 200     | 0   |
      | allows another region alone            | 503 | 503   | 200 cut | 1   |
      | lowers the idle time-out               | 200 | 200   | 200     | 0   |
      | publishes ten versions within a second | 200 | 200   | 200     | 0   |

  Scenario Outline: Each request at a gateway process is answered when <what>
    Given a gateway process with callers whose requests are in these states
      | state                 |
      | head read in part     |
      | body read in part     |
      | waiting for a target  |
      | waiting for room      |
      | sent, no head back    |
      | head passed on        |
      | stream in the middle  |
      | complete, read slowly |
      | sent ahead            |
      | idle, used again      |
    When <what>
    And the requests go on
    Then each caller gets its answer
      | state                 | answer  |
      | head read in part     | 200     |
      | body read in part     | 200     |
      | waiting for a target  | 200     |
      | waiting for room      | 200     |
      | sent, no head back    | 200     |
      | head passed on        | 200     |
      | stream in the middle  | 200     |
      | complete, read slowly | 200     |
      | sent ahead            | 200 200 |
      | idle, used again      | 200     |
    And the gateway counts 0 requests as unanswered
    And the gateway process has gone on

    Examples:
      | what                                             |
      | it is told SIGHUP with changed settings          |
      | it is told SIGHUP with another store             |
      | it is told SIGHUP with settings that are no TOML |
      | it is told SIGHUP with settings that are no text |
      | it is told SIGHUP with an empty settings file    |
      | it is told SIGHUP with no settings file          |
      | it is told SIGHUP twenty times                   |
      | it is held up during ten versions                |
      | ten versions come within a second                |
      | it is sent an idle time-out that is no number    |
