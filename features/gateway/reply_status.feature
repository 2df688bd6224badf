Feature: Replies to a gateway whose status is not one of a final reply

  # A status outside the definition must not reach a caller as a response, nor
  # be taken for a refusal that allows the request to be sent again.

  Scenario Outline: A malformed status line of a target counts as a possible execution
    Given a site with plain targets "a"
    And a plain target "b" that answers with the status <status>
    And route "once" has a timeout of 3000 ms
    And the gateway runs
    When a caller sends a request to the raw target "b" on route "once"
    Then the caller gets status 502 and "no answer"
    And the raw server got 1 request
    And the raw server has no open connection

    Examples:
      | status          |
      | 000             |
      | 099             |
      | 00              |
      | 0               |
      | 0200            |
      | 103 and 000     |
      | 103 and 0200    |
      | 100 without end |
      | 199 without end |
      | 101 unasked     |
      | 199             |
      | 600             |
      | 999             |
      | 2000            |
      | +20             |
      | +200            |
      | 2_00            |
      | two blanks      |
      | a tab           |
      | a blank in it   |
      | no status       |
      | 204 with a body |
      | 204 in chunks   |
      | 304 with a body |

  Scenario Outline: A sound status of a target reaches the caller
    Given a site with plain targets "a"
    And a plain target "b" that answers with the status <status>
    And the gateway runs
    When a caller sends a request to the raw target "b" on route "once"
    Then the response of the raw target has status <seen>
    And the raw server got 1 request

    Examples:
      | status            | seen |
      | 200               | 200  |
      | 103 and 200       | 200  |
      | 404               | 404  |
      | 599               | 599  |
      | 204               | 204  |
      | 304 with a length | 304  |

  Scenario Outline: A malformed status line fails a JSON call of a gateway
    Given a server that answers with the status <status>
    When a JSON call is made to it with a timeout of 2.0 seconds
    Then the JSON call fails within 5.0 seconds with broken_reply
    And the raw server has no open connection

    Examples:
      | status          |
      | 000             |
      | 099             |
      | 00              |
      | 0               |
      | 0200            |
      | 103 and 000     |
      | 103 and 0200    |
      | 100 without end |
      | 199 without end |
      | 101 unasked     |
      | 199             |
      | 600             |
      | 999             |
      | 2000            |
      | +20             |
      | +200            |
      | 2_00            |
      | two blanks      |
      | a tab           |
      | a blank in it   |
      | no status       |
      | 204 with a body |
      | 204 in chunks   |
      | 304 with a body |
