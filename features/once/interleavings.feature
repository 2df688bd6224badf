Feature: No interleaving of retries, deaths and cuts runs a key twice

  Scenario Outline: A key runs at most once, and never after it was reported as not run
    When 200 drawn histories of <kind> are played on 3 entries
    Then no key ran twice and no outcome was untrue

    Examples:
      | kind          |
      | permits       |
      | callers' keys |
