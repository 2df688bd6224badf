Feature: Replies to an entry's clients whose fields or framing the protocol does not allow

  # Such a reply must not be taken for one of any kind: the lines below the
  # faulty one would be lost, the length too, or the body cut or lengthened.

  Scenario Outline: A client that calls a service does not accept a reply with <what>
    Given a server whose reply has <what>
    When an entry's client calls a service at it within 3.0 seconds
    Then the client's call ended with CutError
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

  Scenario Outline: A client that sends an action does not know its outcome after a reply with <what>
    Given a server whose reply has <what>
    When an entry's client sends an action to it within 3.0 seconds
    Then the client's call ended with unknown
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

  Scenario Outline: A client that <calls> an address does not accept a reply with <what>
    Given a server whose reply has <what>
    When an entry's client <calls> it within 3.0 seconds
    Then the client's call ended with <result>
    And the raw server has no open connection

    Examples:
      | calls                        | what                                         | result           |
      | opens a stream on            | a blank in a name                            | EngineError      |
      | opens a stream on            | a control byte in a value                    | EngineError      |
      | opens a stream on            | an informational head with a blank in a name | EngineError      |
      | opens a stream on            | a refusal with a blank in a name             | EngineError      |
      | opens a stream on            | a length with a plus                         | EngineError      |
      | opens a stream on            | two different lengths                        | EngineError      |
      | opens a stream on            | an unknown coding                            | EngineError      |
      | reads the load of            | a blank in a name                            | EngineError      |
      | reads the load of            | a control byte in a value                    | EngineError      |
      | reads the load of            | an informational head with a blank in a name | EngineError      |
      | reads the load of            | a refusal with a blank in a name             | EngineError      |
      | reads the load of            | a length with a plus                         | EngineError      |
      | reads the load of            | two different lengths                        | EngineError      |
      | reads the load of            | an unknown coding                            | EngineError      |
      | reads the cache events of    | a blank in a name                            | EngineError      |
      | reads the cache events of    | a control byte in a value                    | EngineError      |
      | reads the cache events of    | an informational head with a blank in a name | EngineError      |
      | reads the cache events of    | a refusal with a blank in a name             | EngineError      |
      | reads the cache events of    | a length with a plus                         | EngineError      |
      | reads the cache events of    | two different lengths                        | EngineError      |
      | reads the cache events of    | an unknown coding                            | EngineError      |
      | reads the state of           | a blank in a name                            | OrderError       |
      | reads the state of           | a control byte in a value                    | OrderError       |
      | reads the state of           | an informational head with a blank in a name | OrderError       |
      | reads the state of           | a refusal with a blank in a name             | OrderError       |
      | reads the state of           | a length with a plus                         | OrderError       |
      | reads the state of           | two different lengths                        | OrderError       |
      | reads the state of           | an unknown coding                            | OrderError       |
      | sends an order to            | a blank in a name                            | OrderError       |
      | sends an order to            | a control byte in a value                    | OrderError       |
      | sends an order to            | an informational head with a blank in a name | OrderError       |
      | sends an order to            | a refusal with a blank in a name             | OrderError       |
      | sends an order to            | a length with a plus                         | OrderError       |
      | sends an order to            | two different lengths                        | OrderError       |
      | sends an order to            | an unknown coding                            | OrderError       |
      | reads the configuration from | a blank in a name                            | SourceError      |
      | reads the configuration from | a control byte in a value                    | SourceError      |
      | reads the configuration from | an informational head with a blank in a name | SourceError      |
      | reads the configuration from | a refusal with a blank in a name             | SourceError      |
      | reads the configuration from | a length with a plus                         | SourceError      |
      | reads the configuration from | two different lengths                        | SourceError      |
      | reads the configuration from | an unknown coding                            | SourceError      |
      | reads the instances from     | a blank in a name                            | SourceError      |
      | reads the instances from     | a control byte in a value                    | SourceError      |
      | reads the instances from     | an informational head with a blank in a name | SourceError      |
      | reads the instances from     | a refusal with a blank in a name             | SourceError      |
      | reads the instances from     | a length with a plus                         | SourceError      |
      | reads the instances from     | two different lengths                        | SourceError      |
      | reads the instances from     | an unknown coding                            | SourceError      |
      | streams an answer from       | a blank in a name                            | CutError         |
      | streams an answer from       | a control byte in a value                    | CutError         |
      | streams an answer from       | an informational head with a blank in a name | CutError         |
      | streams an answer from       | a refusal with a blank in a name             | CutError         |
      | streams an answer from       | a length with a plus                         | CutError         |
      | streams an answer from       | two different lengths                        | CutError         |
      | streams an answer from       | an unknown coding                            | CutError         |
      | reads the status of          | a blank in a name                            | UnreachableError |
      | reads the status of          | a control byte in a value                    | UnreachableError |
      | reads the status of          | an informational head with a blank in a name | UnreachableError |
      | reads the status of          | a refusal with a blank in a name             | UnreachableError |
      | reads the status of          | a length with a plus                         | UnreachableError |
      | reads the status of          | two different lengths                        | UnreachableError |
      | reads the status of          | an unknown coding                            | UnreachableError |

  Scenario Outline: A client accepts a sound reply with <what>
    Given a server whose reply has <what>
    When an entry's client calls a service at it within 3.0 seconds
    Then the client's call ended with status 200

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

  Scenario Outline: A client accepts the answer to an action with <what>
    Given a server whose reply has <what>
    When an entry's client sends an action to it within 3.0 seconds
    Then the client's call ended with done

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

  Scenario Outline: A client gets the value of a field as it is
    Given a server whose reply has <what>
    When an entry's client reads the field of a reply of it within 3.0 seconds
    Then the client's call ended with the value <value>

    Examples:
      | what                         | value          |
      | blanks around a value        | b'1'           |
      | a tab in a value             | b'a\tb'        |
      | bytes above ASCII in a value | b'\x80\x85\xff' |
      | a continued value            | b'a b c'       |

  Scenario Outline: A client that reads a stream with <what> decodes it like all other replies
    Given a server whose reply has <what>
    When an entry's client reads an event of it within 3.0 seconds
    Then the client's call ended with <result>

    Examples:
      | what                                          | result                |
      | an event in chunks                            | the data [b'onetwo']  |
      | an event in chunks in capitals                | the data [b'onetwo']  |
      | an event in chunks with a blank before a size | BrokenError           |
