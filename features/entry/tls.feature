Feature: TLS on the listeners of an entry

  Background:
    Given 2 entries with TLS for callers and peers

  Scenario: A caller is served over TLS
    When the ask command asks them with their authority
    Then the TLS answer is whole

  Scenario Outline: A caller without the right authority gets nothing
    When the ask command asks them with <authority>
    Then the TLS answer is refused

    Examples:
      | authority         |
      | no authority      |
      | another authority |

  Scenario: A listener for TLS answers no plain request
    Then a plain request to the TLS listener gets no answer
