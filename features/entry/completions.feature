Feature: Requests for completions, as the openai client sends them

  Background:
    Given the shared stream fleet of 2 entries and 2 engines

  Scenario Outline: An invalid request gets a typed error
    When a completion is requested with the body <body>
    Then the completion response is <status> "<code>" for the field "<param>"
    And no stream engine started a generation

    Examples:
      | body                                                     | status | code            | param      |
      | {"prompt": "a"}                                          | 400    | invalid_field   | model      |
      | {"model": 7, "prompt": "a"}                              | 400    | invalid_field   | model      |
      | {"model": "assistant"}                                   | 400    | invalid_field   | prompt     |
      | {"model": "assistant", "prompt": 3}                      | 400    | invalid_field   | prompt     |
      | {"model": "assistant", "prompt": "a", "max_tokens": 0}   | 400    | invalid_field   | max_tokens |
      | {"model": "assistant", "prompt": "a", "max_tokens": "9"} | 400    | invalid_field   | max_tokens |
      | {"model": "assistant", "prompt": "a", "stream": "yes"}   | 400    | invalid_field   | stream     |
      | {"model": "nothing", "prompt": "a"}                      | 404    | unknown_service | None       |
      | {"model": "register", "prompt": "a"}                     | 404    | unknown_service | None       |
      | {"model": "assistant", "model": "x", "prompt": "a"}      | 400    | bad_input       | None       |
      | {"model": "assistant", "prompt": NaN}                    | 400    | bad_input       | None       |
      | [1, 2]                                                   | 400    | bad_input       | None       |
      | {"model": "assistant", "prompt":                         | 400    | bad_input       | None       |
      | 5000 open brackets                                       | 400    | bad_input       | None       |

  Scenario: An engine gets the caller's unknown fields but not the caller's priority
    When a completion is requested with the body {"model": "assistant", "prompt": "a", "stream": true, "max_tokens": 2, "unheard_of": {"b": 1.50}}
    And a completion is requested with the body {"model": "assistant", "prompt": "a", "max_tokens": 2, "priority": -9}
    Then the stream engines got the unknown field and no priority below 0

  Scenario Outline: The unmodified openai client gets responses and errors as usual
    When the openai client requests <what>
    Then the openai client gets <result>

    Examples:
      | what                                 | result                        |
      | the models                           | the model "assistant" only    |
      | a chat completion                    | 6 tokens and their usage      |
      | a text completion                    | 6 tokens and their usage      |
      | a chat stream                        | 6 tokens                      |
      | a text stream                        | 6 tokens                      |
      | a chat stream with usage             | 6 tokens and their usage      |
      | a model that does not exist          | the error NotFoundError       |
      | a completion with a wrong key        | the error AuthenticationError |
      | a completion with an invalid field   | the error BadRequestError     |
      | a completion that all engines refuse | the error InternalServerError |
      | a stream that is lost                | the error APIError            |
