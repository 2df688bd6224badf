Feature: Streams when a process is killed or suspended

  Background:
    Given a stream fleet of 2 entries and 2 engines

  Scenario Outline: An engine process is killed or suspended in mid-stream
    When a stream of 40 tokens is read up to 5 and its engine gets <signal>
    Then the stream <end>

    Examples:
      | signal  | end                                         |
      | SIGKILL | is reported lost with the exact token count |
      | SIGSTOP | has tokens 1 to 40 after the engine resumed |

  Scenario Outline: An entry process is killed or suspended in mid-stream
    When a stream of 40 tokens is read up to 5 and its entry gets <signal>
    And the caller resumes the stream through the other entry
    And the stream is read to its end
    Then the stream has tokens 1 to 40 of one generation and its end event

    Examples:
      | signal  |
      | SIGKILL |
      | SIGSTOP |
