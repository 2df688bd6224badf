Feature: Requests for completions, as the openai client sends them

  Background:
    Given the shared stream fleet of 2 entries and 2 engines

  Scenario Outline: A request that is wrong gets a typed error
    When a completion is asked for with the body <body>
    Then the completion answer is <status> "<code>" about "<param>"
    And no stream engine began a generation

    Examples:
      | body                                             | status | code            | param      |
      | {"prompt": "a"}                                  | 400    | invalid_field   | model      |
      | {"model": 7, "prompt": "a"}                      | 400    | invalid_field   | model      |
      | {"model": "assistant"}                           | 400    | invalid_field   | prompt     |
      | {"model": "assistant", "prompt": 3}              | 400    | invalid_field   | prompt     |
      | {"model": "assistant", "prompt": "a", "max_tokens": 0}     | 400 | invalid_field | max_tokens |
      | {"model": "assistant", "prompt": "a", "max_tokens": "9"}   | 400 | invalid_field | max_tokens |
      | {"model": "assistant", "prompt": "a", "stream": "yes"}     | 400 | invalid_field | stream     |
      | {"model": "nothing", "prompt": "a"}              | 404    | unknown_service | None       |
      | {"model": "register", "prompt": "a"}             | 404    | unknown_service | None       |
      | {"model": "assistant", "model": "x", "prompt": "a"} | 400 | bad_input       | None       |
      | {"model": "assistant", "prompt": NaN}            | 400    | bad_input       | None       |
      | [1, 2]                                           | 400    | bad_input       | None       |
      | {"model": "assistant", "prompt":                 | 400    | bad_input       | None       |
      | 5000 open brackets                               | 400    | bad_input       | None       |

  Scenario: The engine gets the caller's bytes, and no priority of its own
    When a completion is asked for with the body {"model": "assistant", "prompt": "a", "stream": true, "max_tokens": 2, "unheard_of": {"b": 1.50}}
    And a completion is asked for with the body {"model": "assistant", "prompt": "a", "max_tokens": 2, "priority": -9}
    Then the stream engines got the unknown field and no priority below 0

  Scenario Outline: The unmodified openai client
    When the openai client asks for <what>
    Then the openai client sees <result>

    Examples:
      | what                        | result                        |
      | the models                  | the model "assistant" only    |
      | a chat answer               | 6 tokens and their usage      |
      | a text answer               | 6 tokens and their usage      |
      | a chat stream               | 6 tokens                      |
      | a text stream               | 6 tokens                      |
      | a chat stream with usage    | 6 tokens and their usage      |
      | a model that is not there   | the error NotFoundError       |
      | something with a wrong key  | the error AuthenticationError |
      | a field that is wrong       | the error BadRequestError     |
      | a full service              | the error InternalServerError |
      | a stream that gets lost     | the error APIError            |
