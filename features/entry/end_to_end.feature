Feature: Requests through separate processes from end to end

  Background:
    Given a fleet of 3 entries, an engine and a plain service

  Scenario: A stream delivers each token once and in order
    When a caller streams 12 tokens through each entry
    Then each caller got tokens 1 to 12 of one generation and an end event

  Scenario: A response that is not streamed is complete
    When a caller requests 7 tokens without streaming
    Then the response has 7 tokens

  Scenario: An action runs once
    When a caller posts an action to the plain service
    Then the outcome is "done" and the service ran it once

  Scenario: The unmodified openai client reads a stream
    When the openai client streams 9 tokens
    Then the openai client got 9 tokens
