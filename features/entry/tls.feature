Feature: TLS on the listeners of an entry

  Background:
    Given 2 entries with TLS for callers and peers

  Scenario: A caller is served over TLS
    When the ask command calls them over TLS with their authority
    Then the command receives the whole answer over TLS

  Scenario Outline: A caller that does not trust the authority receives no answer
    When the ask command calls them over TLS with <authority>
    Then the command fails without an answer

    Examples:
      | authority         |
      | no authority      |
      | another authority |

  Scenario: A TLS listener does not answer plain HTTP requests
    Then a plain HTTP request to the TLS listener receives no answer
