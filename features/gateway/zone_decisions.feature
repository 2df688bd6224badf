Feature: Decisions on regions and evacuated zones, without a network

  Scenario Outline: Regions of route and team both apply
    Then regions "<route>" of a route and "<team>" of a team permit "<regions>"

    Examples: an empty list allows all regions, and two lists their common part
      | route | team  | regions |
      |       |       | all     |
      | r1    |       | r1      |
      |       | r1 r2 | r1 r2   |
      | r1 r2 | r2 r3 | r2      |
      | r1    | r2    | none    |

  Scenario Outline: A target of unknown region serves only what may go anywhere
    Then a request with regions "<regions>" may use a target in region "<region>": <may>

    Examples:
      | regions | region  | may |
      | all     | r1      | yes |
      | all     | unknown | yes |
      | r1 r2   | r2      | yes |
      | r1 r2   | r3      | no  |
      | r1 r2   | unknown | no  |
      | none    | r1      | no  |

  Scenario: Regions without a zone are listed for each holder that names them
    # A misspelt region otherwise shows only as refused requests.
    Given zones "a=r1 b=r2" for region rules
    Then of the region rules "x=r1,r2 y=r1,r9,r8 z=" these are unusable: "y=r8,r9"

  Scenario: An evacuation that is written again is still one evacuation
    # The operator's retry must not need two deletions.
    Given no zone under evacuation
    When the evacuation of "a" starts at revision 5
    And the evacuation of "a" starts at revision 9
    Then the evacuation of "a" counts since revision 5
    When the evacuation of "a" is over
    Then no zone is under evacuation
    When the evacuation of "a" starts at revision 12
    Then the evacuation of "a" counts since revision 12

  Scenario: An end without a start changes nothing
    Given no zone under evacuation
    When the evacuation of "a" is over
    Then no zone is under evacuation

  Scenario: A full list ends the evacuations that it lacks
    Given no zone under evacuation
    When the evacuation of "a" starts at revision 5
    And the evacuation of "b" starts at revision 6
    Then a full list with evacuations of "b c" lacks "a"

  Scenario Outline: The configuration in force decides, not the one of the admission
    # The configuration may change while a request waits; a request that keeps
    # its old regions would be sent where it may no longer go.
    Given a request on path "/a/b/c" admitted by route "/a/" in region "r1"
    When the configuration in force becomes one with <routes>
    Then the admitted request may use "<regions>"

    Examples: a route that no longer exists keeps its regions
      | routes                            | regions |
      | the same version            | r1      |
      | the route in r2             | r2      |
      | the route in all regions    | all     |
      | another route only          | r1      |
      | a longer route in r3        | r3      |
      | the route wider, key in r2  | r2      |
      | the route wider, key gone   | r1 r2   |
      | the route wider and public  | r1 r2   |

  Scenario Outline: Nothing is sent to a target that is forbidden by then
    # Opening a connection takes time, in which the operator may evacuate the
    # zone or publish other regions.
    Given a send to a target in zone "a" with its backup in zone "b"
    When by the time that its connection is open <change>
    Then the send <outcome>

    Examples:
      | change                | outcome                           |
      | nothing changes       | reaches the target with a backup  |
      | zone "a" is evacuated | is given up with nothing sent     |
      | only zone "b" stays permitted | is given up with nothing sent |
      | zone "b" is evacuated | reaches the target without a backup |
      | only zone "a" stays permitted | reaches the target without a backup |
