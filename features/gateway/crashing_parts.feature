Feature: A part of prompts crashes each engine that begins to write on it

  Background:
    Given a site with engines "e1,e2,e3,e4,e5,e6,e7,e8,e9,e10,e11,e12"
    And engines that crash on the part "bad" and are back after 1 second

  Scenario: The log names the parts of the prompts that end with an engine
    Given the gateway runs
    And the log of the gateway is kept
    When a caller sends a prompt of the parts "team,bad" on route "stream"
    Then the log line "generation_sent" has prompt_parts "team,bad"
    And the log line "generation_interrupted" has prompt_parts "team,bad"

  Scenario Outline: Requests that crash engines through different gateways are kept away
    Given 4 gateways run that know each other
    When 10 callers send prompts of the parts "<parts>" on route "<route>" to the gateways in turn
    Then no more than 5 engines have crashed
    And the last 5 of these callers are told that the request has not run
    When 8 callers send prompts of the parts "team,case" on route "<route>" to the gateways in turn
    Then each of these callers received a whole stream

    Examples: at most once, and repeated on another engine
      | parts         | route  |
      | team,bad      | stream |
      | bad,case      | stream |
      | team,case,bad | stream |
      | team,bad      | resume |

  # Each gateway blocked a part with a long id only after three crashes of its
  # own.
  Scenario Outline: The length of a part's id does not matter
    Given 4 gateways run that know each other
    When 10 callers send prompts with a part that crashes engines, its id of <digits> digits, to the gateways in turn
    Then no more than 5 engines have crashed
    And the last 5 of these callers are told that the request has not run
    When 8 callers send prompts with a part whose id differs in its last digit to the gateways in turn
    Then each of these callers received a whole stream

    Examples:
      | digits |
      | 64     |
      | 65     |
      | 128    |
      | 3000   |

  Scenario: The log names a part with a long id by its digest
    Given the gateway runs
    And the log of the gateway is kept
    When a caller sends a prompt with a part that crashes engines, its id of 3000 digits
    Then the log line "generation_sent" has the digest of that part
    And the log line "generation_interrupted" has the digest of that part
    And the log line "engine_crashed" has the digest of that part

  Scenario Outline: A gateway that missed the news learns of it
    Given 4 gateways run that know each other
    When 10 callers send prompts of the parts "team,bad" on route "stream" to the gateways in turn
    And gateway 2 <misses>
    Then gateway 2 blocks the part "bad" within 4 seconds

    Examples:
      | misses                  |
      | loses all its evidence  |
      | is started again        |

  Scenario: An error reply does not prove that a prompt is sound
    Given 4 gateways run that know each other
    When 10 callers send prompts of the parts "team,bad" on route "stream" to the gateways in turn
    And an engine answers a prompt of the parts "team,bad" with its own failure
    Then each gateway blocks the part "bad"

  Scenario: A request that waits at an engine is cancelled once its prompt is blocked
    Given engines that need 1.5 seconds for a prefill
    And 4 gateways run that know each other
    When a caller sends a prompt of the parts "team,bad" to a gateway
    And all gateways learn that the part "bad" crashes engines
    Then the caller gets status 502 and "no answer"
    And no more than 0 engines have crashed

  Scenario: A request that finds no engine does not use up the trial of a blocked prompt
    Given the gateway runs
    And the gateway blocks the part "good", and a trial is due
    When all engines are full and a caller sends a prompt of the parts "team,good" on route "stream"
    Then the caller gets status 503 and "no answer"
    When the engines have room and a caller sends a prompt of the parts "team,good" on route "stream"
    Then the caller gets status 200 and "no answer of a plain target"
    And the gateway blocks nothing

  Scenario Outline: A request that ends each engine that it reaches is given up
    Given the gateway runs
    When the engine that gets the request will "exit at 1" and then "exit at 1"
    And a caller opens a stream on route "<route>"
    Then the caller received no event
    And the request was executed <runs> times

    Examples: a third engine would serve it
      | route  | runs |
      | stream | 1    |
      | resume | 2    |
