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
