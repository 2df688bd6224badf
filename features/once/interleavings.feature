Feature: No interleaving of retries, process deaths and network cuts runs the call of a key twice

  Scenario Outline: The call of a key runs at most once, and never after it was reported as not run
    When 200 generated histories of <kind> are run on 3 entries
    Then the call of no key ran twice and every reported outcome was true

    Examples:
      | kind          |
      | permits       |
      | callers' keys |
