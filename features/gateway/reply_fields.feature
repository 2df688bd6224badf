Feature: Replies to a gateway whose fields or framing the protocol does not allow

  # Such a reply must not reach a caller as a response, with the line passed on
  # or a body that is not the target's, nor be taken for a refusal that allows
  # the request to be sent again.

  Scenario Outline: A reply with <what> counts as a possible execution
    Given a site with plain targets "a"
    And a plain target "b" whose reply has <what>
    And route "once" has a timeout of 3000 ms
    And the gateway runs
    When a caller sends a request to the raw target "b" on route "once"
    Then the caller gets status 502 and "no answer"
    And the raw server got 1 request
    And the raw server has no open connection

    Examples: a line of the head
      | what                                |
      | a blank in a name                   |
      | a tab in a name                     |
      | a zero byte in a name               |
      | a control byte in a name            |
      | a DEL in a name                     |
      | a byte above ASCII in a name        |
      | a quote in a name                   |
      | an empty name                       |
      | a blank before the colon            |
      | a line without a colon              |
      | a zero byte in a value              |
      | a control byte in a value           |
      | an escape in a value                |
      | a DEL in a value                    |
      | a carriage return in a value        |
      | a form feed in a value              |
      | a control byte in a continued value |

    Examples: the head
      | what                                         |
      | a folded first line                          |
      | a control byte in the reason                 |
      | version 2.0                                  |
      | the end within its head                      |
      | the end before the blank line                |
      | an informational head with a blank in a name |
      | an informational head with a control byte    |
      | a refusal with a blank in a name             |
      | a refusal with a control byte in a value     |

    Examples: the length
      | what                        |
      | a length with a plus        |
      | a length with a minus       |
      | a length in two parts       |
      | a hexadecimal length        |
      | a length with an underscore |
      | an empty length             |
      | a length that is no number  |
      | two lengths in one          |
      | a length of 400 digits      |
      | a length of 5000 digits     |

    Examples: the framing
      | what                  |
      | two different lengths |
      | an unknown coding     |
      | two codings           |
      | chunks twice          |

    Examples: the chunks
      | what                               |
      | a chunk size with a plus           |
      | a chunk size with a minus          |
      | a chunk size with a prefix         |
      | a chunk size after a blank         |
      | a chunk size with an underscore    |
      | a chunk without its line end       |
      | no last blank line                 |
      | a last chunk cut short             |
      | a trailer with a blank in its name |
      | a trailer with a control byte      |
      | a trailer without an end           |

  Scenario Outline: A sound reply with <what> reaches the caller
    Given a site with plain targets "a"
    And a plain target "b" whose reply has <what>
    And the gateway runs
    When a caller sends a request to the raw target "b" on route "once"
    Then the response of the raw target has status 200
    And the response of the raw target has its whole body
    And the raw server got 1 request

    Examples: a line of the head
      | what                                     |
      | all characters of names                  |
      | an empty value                           |
      | no blank after the colon                 |
      | blanks around a value                    |
      | a tab in a value                         |
      | bytes above ASCII in a value             |
      | colons in a value                        |
      | a continued value                        |
      | lines that end without a carriage return |

    Examples: the framing
      | what                         |
      | the same length twice        |
      | the same length twice in one |
      | a length with zeros          |
      | a length between blanks      |
      | a length on the next line    |
      | chunks in capitals           |
      | a chunk size with zeros      |
      | a chunk size before blanks   |
      | chunks with extensions       |
      | trailers                     |
      | chunks and a length          |

  Scenario Outline: The value of a field reaches the caller as it is
    Given a site with plain targets "a"
    And a plain target "b" whose reply has <what>
    And the gateway runs
    When a caller sends a request to the raw target "b" on route "once"
    Then the response of the raw target has the value "<value>" in its field

    Examples:
      | what                         | value        |
      | blanks around a value        | 1            |
      | a tab in a value             | a\tb         |
      | bytes above ASCII in a value | \x80\x85\xff |
      | a continued value            | a b c        |

  Scenario Outline: A JSON call of a gateway fails with <what>
    Given a server whose reply has <what>
    When a JSON call is made to it with a timeout of 2.0 seconds
    Then the JSON call fails within 5.0 seconds with broken_reply
    And the raw server has no open connection

    Examples:
      | what                          |
      | a blank in a name             |
      | a control byte in a value     |
      | a control byte in the reason  |
      | a length with a plus          |
      | no last blank line            |
      | a trailer with a control byte |
