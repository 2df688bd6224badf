Feature: The end of a reply over TLS

  # Anyone on the way can end a connection; only the message close_notify shows
  # that the server has.

  Scenario Outline: A reply with <answer> whose server <ending> over TLS is <result>
    Given a TLS server that answers with <answer> and <ending>
    When a client of an entry uploads <size> bytes to it over TLS
    Then the reply over TLS is <result>

    Examples: replies that end with their connection
      | answer             | ending                              | size    | result |
      | no length          | resets the connection               | 1       | cut    |
      | no length          | resets the connection               | 4000000 | cut    |
      | no length          | closes without close_notify         | 1       | cut    |
      | no length, no body | closes without close_notify         | 1       | cut    |
      | no length          | sends close_notify                  | 1       | whole  |
      | no length, no body | sends close_notify                  | 1       | whole  |

    Examples: replies that have an end of their own
      | answer                      | ending                      | size    | result |
      | a length                    | resets the connection       | 4000000 | whole  |
      | a length                    | closes without close_notify | 1       | whole  |
      | chunks                      | closes without close_notify | 1       | whole  |
      | a length, half the body     | closes without close_notify | 1       | cut    |
      | chunks without the last one | closes without close_notify | 1       | cut    |
