Feature: Evidence of which part of prompts crashes engines

  Crashes are written ENGINE:PARTS@SECOND; answers are PARTS@SECOND.

  Scenario Outline: The part that all crashes have in common is blocked
    Given one instance with evidence
    When these crashes are seen: <crashes>
    Then the blocked groups are "<blocked>"

    Examples: the load of one deadly part among prompts of a team and its cases
      | crashes                                             | blocked  |
      | e1:t,a,bad@1 e2:t,b,bad@2                           |          |
      | e1:t,a,bad@1 e2:t,b,bad@2 e3:u,c,bad@3              | bad      |
      | e1:bad,a@1 e2:bad,b@2 e3:bad,c@3                    | bad      |
      | e1:t,bad@1 e2:t,bad@2 e3:t,bad@3                    | bad+t    |
      | e1:t,bad@1 e2:t,bad@2 e3:t,bad@3 e4:u,bad@4         | bad      |
      | e1:t,bad@1 e2:t,bad@2 e3:t,bad@3 e4:t,x@4           | t        |
      | e1:x,bad@1 e2:y,bad@2 e3:x,bad@3 e1:z,new@3         | bad      |
      | e1:x,bad@1 e1:y,bad@1 e1:z,bad@1                    |          |

  Scenario Outline: Engines that end by a common cause blame no part
    Given one instance with evidence
    When these crashes are seen: <crashes>
    Then the blocked groups are "<blocked>"

    Examples: at the same moment, unless the request was sent after the earlier crash
      | crashes                                                   | blocked |
      | e1:a@1.0 e2:a@1.01 e3:a@1.02 e4:a@1.05 e5:a@1.09           |         |
      | e1:a@1.0 e2:a@1.01 e3:a@1.02 e4:a@3.0 e5:a@3.05           |         |
      | e1:a@1.0 e2:a@1.01 e3:a@3.0 e4:a@3.05 e5:a@5.0            | a       |
      | e1:a@1.0<0.9 e2:a@1.05<1.02 e3:a@1.1<1.06                 | a       |

  Scenario Outline: An answer clears a part
    Given one instance with evidence
    When answers are written on <answers>
    And these crashes are seen: <crashes>
    And answers are written on <later>
    Then the blocked groups are "<blocked>"

    Examples: an earlier answer asks for one crash more, a later one clears it
      | answers | crashes                              | later  | blocked |
      | t@0     | e1:t,bad@1 e2:t,bad@2 e3:t,bad@3     | -      | bad     |
      | t,bad@0 | e1:bad@1 e2:bad@2 e3:bad@3           | -      |         |
      | t,bad@0 | e1:bad@1 e2:bad@2 e3:bad@3 e4:bad@4  | -      | bad     |
      | -       | e1:t,bad@1 e2:t,bad@2 e3:t,bad@3     | t@4    | bad     |
      | -       | e1:bad@1 e2:bad@2 e3:bad@3           | bad@4  |         |
      | -       | e1:bad@1 e2:bad@2 e3:bad@3           | bad@2  |         |

  Scenario Outline: Where engines often end for other reasons, more crashes are needed
    Given one instance with evidence
    When <others> engines end with parts that no two have in common
    And these crashes are seen: <crashes>
    Then the blocked groups are "<blocked>"

    Examples:
      | others | crashes                                          | blocked |
      | 7      | e1:bad@1 e2:bad@2 e3:bad@3                       | bad     |
      | 8      | e1:bad@1 e2:bad@2 e3:bad@3                       |         |
      | 8      | e1:bad@1 e2:bad@2 e3:bad@3 e4:bad@4              | bad     |
      | 500    | e1:bad@1 e2:bad@2 e3:bad@3 e4:bad@4 e5:bad@5     |         |
      | 500    | e1:bad@1 e2:bad@2 e3:bad@3 e4:bad@4 e5:bad@5 e6:bad@6 | bad |

  Scenario: Crashes that no request caused blame no part in an hour of them
    Given one instance with evidence
    When for 3600 seconds 4 prompts a second share 40 first parts and 180 second parts
    And every 4 seconds an engine ends with 3 prompts that have no event yet
    Then no group was ever blocked

  Scenario Outline: What peers say is added up, whatever its order
    Given 5 instances with evidence
    When 3 of them see one crash each by the part "bad"
    And their words reach all others <how>
    Then every instance has blocked "bad"
    And nothing is new to any instance

    Examples:
      | how            |
      | once           |
      | three times    |
      | in random order |
      | 90 seconds late |

  Scenario Outline: What a part of the news of one crash suggests is not acted on
    Given one instance with evidence
    And a request with the parts "first,case" waits at an engine
    When these crashes are seen: e1:first,a,bad@1 e2:first,b,bad@2 e3:first,c@3
    And <seconds> seconds later the crash e3:first,d,bad is seen
    Then the blocked groups are "bad+first"
    And the waiting request was <cancelled>

    Examples: other callers of the same engine are heard of a moment later
      | seconds | cancelled     |
      | 0.001   | not cancelled |
      | 0.2     | not cancelled |

  Scenario: Delays of messages do not make instances disagree
    Given 40 instances with evidence
    When these crashes are seen by one instance each: e1:bad@1.00 e2:bad@1.101 e3:bad@1.202
    And words reach all others with delays of up to 0.4 seconds
    Then every instance has blocked "bad"
    And nothing is new to any instance

  Scenario Outline: A wrong word blames no part
    Given one instance with evidence
    When a peer says <what>
    Then the blocked groups are ""

    Examples: the peer is faulty, or its clock is
      | what                                        |
      | that 3 engines crashed two hours ago        |
      | that 3 engines crashed on an id of 5000 characters |
      | that a part crashed nothing                 |
      | that one crash has 5 parts                  |

  Scenario: A word that was wrong ends with the next answer
    Given one instance with evidence
    When a peer says that 3 engines crashed on the part "sound"
    Then the blocked groups are "sound"
    When answers are written on sound@9
    Then the blocked groups are ""
    When a peer says that 3 engines crashed on the part "sound"
    Then the blocked groups are ""

  Scenario: A blocked part is tried by one request at a time, ever less often
    Given 20 instances with evidence
    When all of them know that 3 engines crashed on the part "bad"
    And each of them has 10 requests a second with the part for 600 seconds
    Then the trials are at most 3 and the first is after 60 seconds
    When a trial succeeds
    Then no instance blocks the part

  Scenario: The memory of an instance is bounded
    Given one instance with evidence
    When 5000 crashes of 3 parts each are seen, all different
    And answers are written on 20000 parts
    Then it holds at most 1024 parts under suspicion
    And it tells its peers of at most 32
    And after 3601 seconds it holds none

  Scenario Outline: News of a crash reaches all instances
    Given <instances> instances in <zones> data centres that know each other
    And <part> of them are stopped
    When one of them sees a crash
    Then <all> of the running ones know within <seconds> seconds
    And none has sent more than <bytes> bytes a second

    Examples: the sites and the size to design for, and the platform's four seconds
      | instances | zones | part | all  | seconds | bytes |
      | 8         | 3     | 0.0  | 1.0  | 4.0     | 24000 |
      | 89        | 6     | 0.0  | 1.0  | 4.0     | 24000 |
      | 195       | 6     | 0.3  | 1.0  | 4.0     | 24000 |
      | 1200      | 8     | 0.0  | 1.0  | 4.0     | 24000 |
      | 1200      | 8     | 0.3  | 1.0  | 4.0     | 24000 |

  # Peers ignored crashes on ids of more than 64 characters, and crashes of
  # engines with long ids, so that each instance had to see three of its own.
  Scenario Outline: What an instance records it can also tell
    Given 5 instances with evidence
    When 3 of them see a crash each on a part whose id has <part> characters, of engines whose ids have <engine>
    And their messages reach all others
    Then every instance has blocked that part alone
    And their messages bring nothing new

    Examples: short ids, and up to what a head and the store's keys may hold
      | part  | engine |
      | 8     | 10     |
      | 64    | 100    |
      | 65    | 10     |
      | 128   | 10     |
      | 16000 | 10     |
      | 8     | 120    |
      | 8     | 200    |
      | 16000 | 200    |

  Scenario: Parts whose long ids differ in one character are told apart
    Given 5 instances with evidence
    When 3 of them see a crash each on a part whose id has 4000 characters, of engines whose ids have 10
    And their messages reach all others
    Then every instance lets prompts pass with a part whose id differs in its last character

  # The crash would be taken for a trial, which convicts nothing.
  Scenario: An engine that is named like a trial can crash
    Given one instance with evidence
    When these crashes are seen: trial/1:bad@1 trial/2:bad@2 trial/3:bad@3
    Then the blocked groups are "bad"

  # An instance made each trial once more that a peer had made under a long name.
  Scenario: Trials of instances with long names are known to all
    Given 8 instances with names of 300 characters
    When all of them know that 3 engines crashed on the part "bad"
    And each of them has 10 requests a second with the part for 600 seconds
    Then the trials are at most 3 and the first is after 60 seconds

  Scenario: A message does not grow with the lengths of ids
    Given one instance with evidence
    When 30 engines whose ids have 200 characters crash on 16 parts each whose ids have 16000
    Then it tells its peers of at most 32
    And its message fits into half of the time-out of a call at 10 Mbit/s
    And a peer learns all of it

  Scenario Outline: An instance of the previous version and one of this understand each other
    Given one instance with evidence
    When a message of the previous version tells of 3 crashes on a part whose id has <part> characters, of engines whose ids have <engine>
    Then the instance has blocked that part
    And the previous version accepts all that the instance tells

    Examples:
      | part | engine |
      | 8    | 10     |
      | 64   | 100    |
      | 65   | 10     |
      | 7000 | 200    |

  # To the previous version the digest of an id was another part that accounted
  # for its crashes: it blocked the part after seven of its own in place of three.
  Scenario Outline: Instances of the previous version block a part as before beside those of this one
    Given 3 instances of the previous version and 3 of this
    When crashes come to them in turn on a part whose id has <part> characters
    Then each of this version blocks it after 3 crashes
    And each of the previous version blocks it after <own> of its own at the most

    Examples: short ids are shared by both versions
      | part | own |
      | 64   | 1   |
      | 65   | 3   |
      | 7000 | 3   |

  Scenario: A block that is forgotten fails no request
    Given a part that was blocked after three crashes
    When its records are forgotten after an hour
    Then a prompt with that part may be sent
