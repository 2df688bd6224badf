@promises
Feature: The promises hold under two faults at once

  Scenario Outline: <first> and <second>, seed <seed>
    Given 3 entries, 2 engines and a plain service under load
    When "<first>" and "<second>" strike under load with seed <seed>
    Then every promise holds by the records of callers and targets

    Examples:
      | first                        | second                       | seed |
      | none                         | none                         | 1    |
      | kill an entry                | cut streams                  | 2    |
      | kill an entry                | plain service dies in a call | 3    |
      | freeze an entry              | kill an engine               | 4    |
      | freeze an entry              | plain service dies in a call | 5    |
      | kill an engine               | silence on a connection      | 6    |
      | platform down                | kill an entry                | 7    |
      | platform down                | kill an engine               | 8    |
      | stop an entry                | cut streams                  | 9    |
      | stop an entry                | freeze an entry              | 10   |
      | freeze an engine             | kill an entry                | 11   |
      | duplicate events             | skip an event                | 12   |
      | operators race               | kill an entry                | 13   |
      | operators race               | platform down                | 14   |
      | plain service refuses        | freeze an entry              | 15   |
      | kill an entry                | kill an entry                | 16   |
