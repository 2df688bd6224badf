Feature: Error replies of targets

  # A caller takes 408, 429 and 503 for "not executed", so it repeated requests
  # that had been executed and may be executed only once.
  Scenario Outline: A target that executed a request does not refuse it by its status
    Given a site with <targets>
    And the log of the gateway is kept
    And the gateway runs
    When the target that gets the request will answer with "<fault>"
    And a caller sends a request to route "<route>"
    Then the caller gets status 502 and "no answer"
    And the response has no Retry-After header and no word of a refusal
    And the request was executed 1 times
    And the log names status <status> and the target that gave it

    Examples:
      | targets             | route  | fault                   | status |
      | plain targets "a,b" | once   | status 408              | 408    |
      | plain targets "a,b" | once   | status 408, retry later | 408    |
      | plain targets "a,b" | once   | status 429              | 429    |
      | plain targets "a,b" | once   | status 429, retry later | 429    |
      | plain targets "a,b" | once   | status 503              | 503    |
      | plain targets "a,b" | once   | status 503, retry later | 503    |
      | engines "a,b"       | stream | status 408              | 408    |
      | engines "a,b"       | stream | status 408, retry later | 408    |
      | engines "a,b"       | stream | status 429              | 429    |
      | engines "a,b"       | stream | status 429, retry later | 429    |
      | engines "a,b"       | stream | status 503              | 503    |
      | engines "a,b"       | stream | status 503, retry later | 503    |

  # The sound cases beside it: failures that promise nothing, and requests that
  # callers may repeat whatever they get.
  Scenario Outline: Other failures of a target reach the caller as they are
    Given a site with <targets>
    And the gateway runs
    When the target that gets the request will answer with "<fault>"
    And a caller sends a request to route "<route>"
    Then the caller gets status <status> and "its failure"
    And the request was executed 1 times

    Examples:
      | targets           | route  | fault      | status |
      | plain targets "a" | once   | status 400 | 400    |
      | plain targets "a" | once   | status 409 | 409    |
      | plain targets "a" | once   | status 500 | 500    |
      | plain targets "a" | once   | status 504 | 504    |
      | plain targets "a" | safe   | status 408 | 408    |
      | plain targets "a" | safe   | status 429 | 429    |
      | engines "a"       | stream | status 400 | 400    |
      | engines "a"       | stream | status 500 | 500    |
      | engines "a"       | stream | status 504 | 504    |
      | engines "a"       | resume | status 408 | 408    |
      | engines "a"       | resume | status 429 | 429    |
      | engines "a"       | resume | status 503 | 503    |

  Scenario Outline: A request that its target states as not executed is repeated elsewhere
    Given a site with <targets>
    And the gateway runs
    When the target that gets the request will answer with "shed"
    And a caller sends a request to route "<route>"
    Then the caller gets a whole answer with status 200
    And the request was executed 1 times

    Examples:
      | targets             | route  |
      | plain targets "a,b" | once   |
      | engines "a,b"       | stream |

  Scenario: An idempotent request whose target fails with 503 is repeated elsewhere
    Given a site with plain targets "a,b"
    And the gateway runs
    When the target that gets the request will answer with "status 503"
    And a caller sends a request to route "safe"
    Then the caller gets status 200 and "its answer"
    And the request was executed 2 times

  # The kept reply of the first attempt may reach a caller as well.
  Scenario: The kept 503 of an idempotent request keeps its signature
    Given a site with plain targets "a,b"
    And the gateway runs
    When its targets will answer with "status 503" and then "status 503"
    And a caller sends a request to route "safe"
    Then the caller gets status 503 and "its failure"

  Scenario: A generation whose backup fails with 503 is not refused
    Given a site with engines "a,b"
    And each engine has a copy of the next request
    And the log of the gateway is kept
    And the gateway runs
    When its targets will answer with "exit at 1" and then "status 503"
    And a caller sends the next request to route "stream"
    Then the caller gets status 502 and "no answer"
    And the response has no Retry-After header and no word of a refusal
    And the log names status 503 and the target that gave it

  Scenario Outline: A reply that comes when the caller's time is nearly over is no refusal
    Given a site with <targets>
    And route "<route>" has a timeout of <timeout> ms
    And the gateway runs
    When the target that gets the request will answer with "status 503 after 0.8 s"
    And a caller sends a request to route "<route>"
    Then the caller gets one of the statuses "502, 504" and no signature
    And the request was executed 1 times

    Examples:
      | targets           | route  | timeout |
      | plain targets "a" | once   | 800     |
      | plain targets "a" | once   | 850     |
      | engines "a"       | stream | 800     |
      | engines "a"       | stream | 850     |

  # What the reply says to the gateway itself.
  Scenario Outline: A target that fails with 503 is still left alone if it asks for that
    Given a site with <targets>
    And the log of the gateway is kept
    And the gateway runs
    When the target that gets the request will answer with "<fault>"
    And a caller sends a request to route "<route>"
    Then the caller gets status 502 and "no answer"
    And the log line "<line>" names the target that gave it

    Examples:
      | targets             | route  | fault                   | line           |
      | plain targets "a,b" | once   | status 503, retry later | target_silent  |
      | plain targets "a,b" | once   | status 503, leaving     | target_leaving |
      | engines "a,b"       | stream | status 503, retry later | target_silent  |
      | engines "a,b"       | stream | status 503, leaving     | target_leaving |
