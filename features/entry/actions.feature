Feature: An action runs at most once, and its outcome is true

  Scenario Outline: An action under a permit runs once, whatever happens to the permit's owner
    Given a fleet for actions
    When an action under a permit is sent and sent again while <situation>
    Then its outcomes were "<outcomes>" and it ran <runs> times

    Examples:
      | situation                                        | outcomes                  | runs |
      | the owner is alive                               | done done done done       | 1    |
      | the owner is busy with it                        | done done done done       | 1    |
      | the service refuses it                           | not_run not_run not_run   | 0    |
      | the service drops the connection                 | unknown unknown unknown   | 1    |
      | a gateway answers in place of the service        | unknown unknown unknown   | 1    |
      | the owner is paused and wakes                    | done done done            | 1    |
      | the owner is paused past the permit's end        | not_run not_run not_run   | 0    |
      | the owner is killed before                       | unknown unknown           | 0    |
      | the owner is killed before a first use           | not_run unknown           | 0    |
      | the owner is killed while it runs                | unknown unknown           | 1    |
      | the owner is restarted at its address before     | unknown unknown unknown   | 0    |
      | the owner is restarted at its address after      | done unknown unknown      | 1    |
      | the owner drains while it runs                   | done done done            | 1    |
      | the way to the owner is cut                      | unknown done done         | 1    |
      | the way from the owner is cut                    | unknown done done         | 1    |
      | the way to the owner is cut for good             | unknown unknown           | 0    |

  Scenario Outline: An action under the caller's own key runs once, whatever happens to the entries
    Given a fleet for actions
    When an action under a caller's key is sent and sent again while <situation>
    Then its outcomes were "<outcomes>" and it ran <runs> times

    Examples:
      | situation                                        | outcomes                  | runs |
      | all entries are alive                            | done done done            | 1    |
      | it comes through all entries at once             | done done done            | 1    |
      | the service refuses it                           | not_run not_run not_run   | 0    |
      | another entry is killed                          | unknown unknown           | 0    |
      | another entry is killed before a first use       | not_run                   | 0    |
      | another entry is paused and wakes                | unknown done done         | 1    |
      | another entry is restarted after the key was made | unknown unknown unknown  | 0    |
      | the holder is killed after it ran                | done unknown unknown      | 1    |
      | the holder is restarted after it ran             | done unknown unknown      | 1    |
      | the way to another entry is cut                  | unknown done done         | 1    |
      | the way from another entry is cut                | unknown done done         | 1    |

  Scenario Outline: A key that must not be used is refused, and says truly whether it ran
    Given a fleet for actions
    When an action is sent under a key that is <key>
    Then the refusal is <status> "<code>", its outcome "<outcome>" and it ran 0 times

    Examples:
      | key                                  | status | code         | outcome |
      | forged                               | 400    | bad_key      | not_run |
      | altered                              | 400    | bad_key      | not_run |
      | of another team                      | 400    | bad_key      | not_run |
      | expired just now                     | 410    | key_expired  | not_run |
      | used with another body               | 409    | key_reused   | not_run |
      | used with another method             | 409    | key_reused   | not_run |
      | used with another path               | 409    | key_reused   | not_run |
      | for another service                  | 409    | key_reused   | not_run |
      | the caller's, without a time         | 400    | bad_key      | not_run |
      | the caller's, made in the future     | 400    | bad_key      | not_run |
      | the caller's, too old                | 410    | key_expired  | unknown |
      | the caller's, used with another body | 409    | key_reused   | not_run |

  Scenario: A caller's key of one team is not the same key of another team
    Given a fleet for actions
    When two teams send different actions under the same key
    Then each team's action ran once

  Scenario: An action without a key runs at most once per submission
    Given a fleet for actions
    When an action without a key is sent and the service drops the connection
    Then its outcomes were "unknown" and it ran 1 times

  Scenario: A repeated answer says so, and whether its body was too large to keep
    Given a fleet for actions
    When an action with a large answer is sent twice under a permit
    Then the second answer is marked as repeated and as without its body

  Scenario: A permit names the process that gave it, though the list gives its name to another
    Given a fleet for actions
    When the list gives an entry's name to another process
    Then an action under the entry's permit still runs once

  Scenario: The dump counts keys and shows none
    Given a fleet for actions
    When an action under a permit has ended
    Then the dump of the owner counts it and holds no key
