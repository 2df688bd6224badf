Feature: Targets that leave or ask for silence say so in their replies

  Scenario Outline: A target that says in a reply that it leaves gets no new work
    Given a site with <kind> "a,b"
    And the gateway runs
    When target "a" says that it leaves in its <reply>
    And the gateway has had such a reply from target "a"
    And <event>
    And callers send 8 requests to route "<route>"
    Then target "a" got none of these requests
    And every caller got status 200

    Examples: also when the directory lists it as ready, or lists it again
      | kind          | route  | reply           | event                               |
      | plain targets | once   | success         | nothing else happens                |
      | plain targets | once   | refusal         | nothing else happens                |
      | plain targets | safe   | own failure     | nothing else happens                |
      | plain targets | once   | success         | target "a" is listed as ready anew  |
      | plain targets | once   | success         | target "a" lapses and is listed again |
      | plain targets | once   | success         | the settings are reloaded           |
      | engines       | stream | success         | nothing else happens                |
      | engines       | stream | refusal of a lease | nothing else happens             |
      | engines       | stream | load report     | nothing else happens                |

  # While a request runs, the entry of its target lapses and is listed again.
  # What the target then says in the reply is known only to the state that was
  # dropped with the entry, and requests go on to the target.
  Scenario Outline: A sign in the reply to a request that was sent before its target lapsed counts
    Given a site with <kind> "a"
    And the gateway runs
    When target "a" holds a request to route "<route>" back
    And target "a" lapses and is listed again
    And target "b" of the same kind is listed
    And target "a" <says> in its <reply>
    And target "a" answers what it held back
    And callers send 8 requests to route "<route>"
    Then target "a" got none of these requests
    And every caller got status 200

    Examples:
      | kind          | route  | says                           | reply   |
      | plain targets | once   | says that it leaves            | success |
      | plain targets | once   | says that it leaves            | refusal |
      | plain targets | once   | asks for 30 seconds of silence | refusal |
      | engines       | stream | says that it leaves            | refusal |
      | engines       | stream | asks for 30 seconds of silence | refusal |

  Scenario Outline: Another start of a target does not inherit what the earlier one said
    Given a site with plain targets "a"
    And the gateway runs
    When target "a" <says> in its <reply>
    And the gateway has had such a reply from target "a"
    And target "a" starts again at its address and says nothing
    And callers send 4 requests to route "once"
    Then every caller got status 200

    Examples:
      | says                        | reply   |
      | says that it leaves         | success |
      | asks for 30 seconds of silence | refusal |

  Scenario Outline: A generation is moved from an engine that says that it leaves
    Given a site with engines "e1,e2"
    And engines that produce 300 events
    And the gateway runs
    And the store has been reachable for a while
    When a caller opens a stream on route "stream"
    And after 0.3 seconds a reply of its engine says that it leaves
    Then the caller received events 1 to 300 once, in order and complete
    And the generation continued after a move

    Examples:
      | reply |
      | any   |

  Scenario Outline: A target that asks for silence is sent nothing until then
    Given a site with <kind> "a,b"
    And the gateway runs
    When target "a" asks for <value> seconds of silence in its refusal
    And the gateway has had such a reply from target "a"
    And <event>
    And callers send requests to route "<route>" for 2 seconds
    Then target "a" <gets> of these requests or calls
    And every caller got status 200

    Examples: what cannot be read counts as no time
      | kind          | route  | value      | event                               | gets |
      | plain targets | once   | 30         | nothing else happens                | got none |
      | plain targets | safe   | 2.75       | nothing else happens                | got none |
      | engines       | stream | 30         | nothing else happens                | got none |
      | plain targets | once   | 30         | target "a" lapses and is listed again | got none |
      | plain targets | once   | 30         | the settings are reloaded           | got none |
      | plain targets | once   | 30         | target "a" asks for 0.1 seconds     | got none |
      | plain targets | once   | 0          | nothing else happens                | may get some |
      | plain targets | once   | -5         | nothing else happens                | may get some |
      | plain targets | once   | nan        | nothing else happens                | may get some |
      | plain targets | once   | inf        | nothing else happens                | may get some |
      | plain targets | once   | 1e3        | nothing else happens                | may get some |
      | plain targets | once   | Sat, 05 Dec 2026 15:00:00 GMT | nothing else happens | may get some |
      | plain targets | once   | 99999999999999999999 | nothing else happens      | may get some |

  Scenario: The longest of several times counts
    Given a site with plain targets "a,b"
    And the gateway runs
    When target "a" asks for 0.1 and 30 seconds of silence in its refusal
    And the gateway has had such a reply from target "a"
    And callers send requests to route "once" for 2 seconds
    Then target "a" got none of these requests or calls

  Scenario Outline: A sign that is not the target's own does not count
    Given a site with plain targets "a"
    And the gateway runs
    When target "a" will answer with "<fault>"
    And a caller sends a request to route "safe"
    And callers send 2 requests to route "once"
    Then every caller got status 200
    And the gateway believes that target "a" accepts work

    Examples: it names another request, or has neither id nor signature
      | fault                        |
      | signs of another request     |
      | signs of a proxy             |

  Scenario Outline: If all targets ask for silence, callers are refused at once
    Given a site with <kind> "a,b"
    And the gateway runs
    When all targets ask for <seconds> seconds of silence in their refusals
    And the gateway has had such a reply from each target
    And a caller sends a request to route "<route>"
    Then the caller gets status 503 and "no answer"
    And it was answered within 0.5 seconds
    And its Retry-After is <told>

    Examples: 4 seconds are left to the caller
      | kind          | route  | seconds | told             |
      | plain targets | once   | 1.5     | from 1 to 3      |
      | plain targets | safe   | 1.5     | from 1 to 3      |
      | plain targets | once   | 60      | missing          |
      | engines       | stream | 2.0     | from 1 to 4      |
      | engines       | stream | 60      | missing          |

  Scenario: After a silence one request at a time is sent until one succeeds
    Given a site with plain targets "a"
    And the gateway runs
    When target "a" asks for 0.5 seconds of silence in its refusal
    And the gateway has had such a reply from target "a"
    And the silence of 0.9 seconds has passed
    And target "a" takes 0.5 seconds for each request
    And 6 callers send requests to route "once" at once
    Then target "a" had at most 1 request at a time until one succeeded
