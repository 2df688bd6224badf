Feature: Replies to an entry's clients whose status is not one of a final reply

  # A status outside the definition must not be taken for a refusal, which
  # allows the request to be sent elsewhere, nor for a reply of any other kind.

  Scenario Outline: A client that opens a stream on an address does not accept a malformed status
    Given a server that answers with the status <status>
    When an entry's client opens a stream on it within 3.0 seconds
    Then the client's call ended with EngineError
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

  Scenario Outline: A client that reads the load of an address does not accept a malformed status
    Given a server that answers with the status <status>
    When an entry's client reads the load of it within 3.0 seconds
    Then the client's call ended with EngineError
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

  Scenario Outline: A client that reads the cache events of an address does not accept a malformed status
    Given a server that answers with the status <status>
    When an entry's client reads the cache events of it within 3.0 seconds
    Then the client's call ended with EngineError
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

  Scenario Outline: A client that sends an action to an address does not accept a malformed status
    Given a server that answers with the status <status>
    When an entry's client sends an action to it within 3.0 seconds
    Then the client's call ended with unknown
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

  Scenario Outline: A client that reads the state of an address does not accept a malformed status
    Given a server that answers with the status <status>
    When an entry's client reads the state of it within 3.0 seconds
    Then the client's call ended with OrderError
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

  Scenario Outline: A client that sends an order to an address does not accept a malformed status
    Given a server that answers with the status <status>
    When an entry's client sends an order to it within 3.0 seconds
    Then the client's call ended with OrderError
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

  Scenario Outline: A client that reads the configuration from an address does not accept a malformed status
    Given a server that answers with the status <status>
    When an entry's client reads the configuration from it within 3.0 seconds
    Then the client's call ended with SourceError
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

  Scenario Outline: A client that reads the instances from an address does not accept a malformed status
    Given a server that answers with the status <status>
    When an entry's client reads the instances from it within 3.0 seconds
    Then the client's call ended with SourceError
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

  Scenario Outline: A client that calls a service at an address does not accept a malformed status
    Given a server that answers with the status <status>
    When an entry's client calls a service at it within 3.0 seconds
    Then the client's call ended with CutError
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

  Scenario Outline: A client that streams an answer from an address does not accept a malformed status
    Given a server that answers with the status <status>
    When an entry's client streams an answer from it within 3.0 seconds
    Then the client's call ended with CutError
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

  Scenario Outline: A client that reads the status of an address does not accept a malformed status
    Given a server that answers with the status <status>
    When an entry's client reads the status of it within 3.0 seconds
    Then the client's call ended with UnreachableError
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

  Scenario Outline: A client accepts a sound status
    Given a server that answers with the status <status>
    When an entry's client <calls> it within 3.0 seconds
    Then the client's call ended with <result>

    Examples:
      | calls              | status            | result           |
      | opens a stream on  | 200               | nothing          |
      | opens a stream on  | 103 and 200       | nothing          |
      | opens a stream on  | 404               | RefusedError 404 |
      | opens a stream on  | 599               | RefusedError 599 |
      | opens a stream on  | 204               | RefusedError 204 |
      | opens a stream on  | 304 with a length | RefusedError 304 |
      | reads the load of  | 200               | nothing          |
      | reads the load of  | 103 and 200       | nothing          |
      | sends an action to | 200               | done             |
      | sends an action to | 103 and 200       | done             |
      | sends an action to | 404               | failed           |
      | sends an action to | 599               | failed           |
      | sends an action to | 204               | done             |
      | sends an action to | 304 with a length | done             |
      | calls a service at | 200               | status 200       |
      | calls a service at | 103 and 200       | status 200       |
      | calls a service at | 404               | status 404       |
      | calls a service at | 204               | status 204       |
