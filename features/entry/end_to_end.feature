Feature: The whole path, as separate processes

  Background:
    Given a fleet of 3 entries, an engine and a plain service

  Scenario: A stream arrives token by token, each once and in order
    When a caller streams 12 tokens through each entry
    Then each caller got tokens 1 to 12 of one generation and an end

  Scenario: A plain answer is whole
    When a caller asks for 7 tokens without a stream
    Then the answer holds 7 tokens

  Scenario: An action runs once
    When a caller posts an action to the plain service
    Then the outcome is "done" and the service ran it once

  Scenario: The unmodified client package streams
    When the openai client streams 9 tokens
    Then the openai client got 9 tokens
