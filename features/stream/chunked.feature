Feature: Decoding of chunked bodies

  Scenario Outline: A chunked body decodes the same however it is split
    When the stream chunks "<raw>" are decoded byte by byte and at once
    Then the stream body is "<body>" and its state is "<state>"

    Examples:
      | raw                                  | body       | state   |
      | 5\r\nhello\r\n0\r\n\r\n              | hello      | ended   |
      | 5;x=y\r\nhello\r\n0\r\n\r\n          | hello      | ended   |
      | A\r\n0123456789\r\n1\r\nx\r\n        | 0123456789x | open   |
      | 5\r\nhel                             | hel        | open    |
      | 5\r\nhelloX\r\n                      |            | damaged |
      | \r\nhello                            |            | damaged |
      | zz\r\n                               |            | damaged |
      | -5\r\nhello\r\n                      |            | damaged |
      | 123456789\r\n                        |            | damaged |
      | 0x5\r\nhello\r\n                     |            | damaged |
      | \x205\r\nhello\r\n                  |            | damaged |
      | 5_0\r\nhello\r\n                    |            | damaged |
      | 5\x20\r\nhello\r\n0\r\n\r\n          | hello      | ended   |
