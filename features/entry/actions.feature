Feature: An action runs at most once and its outcome is reported truly

  Scenario Outline: An action under a permit runs at most once, also when its owner fails
    Given a fleet for actions
    When an action under a permit is sent repeatedly while <situation>
    Then the outcomes are "<outcomes>" and the action ran <runs> times

    Examples:
      | situation                                                      | outcomes                | runs |
      | the owner is alive                                             | done done done done     | 1    |
      | the owner is still running it                                  | done done done done     | 1    |
      | the service refuses it                                         | not_run not_run not_run | 0    |
      | the service drops the connection                               | unknown unknown unknown | 1    |
      | a gateway answers in place of the service                      | unknown unknown unknown | 1    |
      | the owner is paused and resumed                                | done done done          | 1    |
      | the owner is paused until the permit has expired               | not_run not_run not_run | 0    |
      | the owner is killed before the first request                   | unknown unknown         | 0    |
      | the owner is killed before a request marked as first use       | not_run unknown         | 0    |
      | the owner is killed while the action runs                      | unknown unknown         | 1    |
      | the owner is restarted at its address before the first request | unknown unknown unknown | 0    |
      | the owner is restarted at its address after the first request  | done unknown unknown    | 1    |
      | the owner drains while the action runs                         | done done done          | 1    |
      | the network to the owner is silent for a while                 | unknown done done       | 1    |
      | the network from the owner is silent for a while               | unknown done done       | 1    |
      | the network to the owner is silent for good                    | unknown unknown         | 0    |

  Scenario Outline: An action under a caller's own key runs at most once, also when entries fail
    Given a fleet for actions
    When an action under a caller's key is sent repeatedly while <situation>
    Then the outcomes are "<outcomes>" and the action ran <runs> times

    Examples:
      | situation                                                    | outcomes                | runs |
      | all entries are alive                                        | done done done          | 1    |
      | it arrives through all entries at once                       | done done done          | 1    |
      | the service refuses it                                       | not_run not_run not_run | 0    |
      | another entry is killed                                      | unknown unknown         | 0    |
      | another entry is killed before a request marked as first use | not_run                 | 0    |
      | another entry is paused and resumed                          | unknown done done       | 1    |
      | another entry is restarted after the key was made            | unknown unknown unknown | 0    |
      | the holder of the claim is killed after the action ran       | done unknown unknown    | 1    |
      | the holder of the claim is restarted after the action ran    | done unknown unknown    | 1    |
      | the network to another entry is silent for a while           | unknown done done       | 1    |
      | the network from another entry is silent for a while         | unknown done done       | 1    |
      | another entry is paused, which takes effect late             | unknown done done       | 1    |

  Scenario Outline: An invalid key is refused, and the outcome tells whether its action ran
    Given a fleet for actions
    When an action is sent under a key that is <key>
    Then the response is <status> "<code>" with outcome "<outcome>" and the action ran 0 times

    Examples:
      | key                                  | status | code        | outcome |
      | forged                               | 400    | bad_key     | unknown |
      | altered                              | 400    | bad_key     | unknown |
      | used before, now with a bad API key  | 401    | not_allowed | unknown |
      | of another team                      | 400    | bad_key     | not_run |
      | expired just now                     | 410    | key_expired | not_run |
      | used with another body               | 409    | key_reused  | not_run |
      | used with another method             | 409    | key_reused  | not_run |
      | used with another path               | 409    | key_reused  | not_run |
      | for another service                  | 409    | key_reused  | not_run |
      | the caller's, without a time         | 400    | bad_key     | not_run |
      | the caller's, made in the future     | 400    | bad_key     | unknown |
      | the caller's, too old                | 410    | key_expired | unknown |
      | the caller's, used with another body | 409    | key_reused  | not_run |

  Scenario: Two teams may use the same caller's key for different actions
    Given a fleet for actions
    When two teams send different actions under the same key
    Then each team's action ran once

  Scenario Outline: A call is retried on another target only if it cannot have run or is repeatable
    Given a fleet for actions
    When 12 <method> calls are sent to two targets, one of which <state>
    Then each call ran at most <most> times with outcomes among "<outcomes>"

    Examples:
      | state                    | method | most | outcomes     |
      | refuses                  | POST   | 1    | done         |
      | has ended                | POST   | 1    | done         |
      | drops its connections    | POST   | 1    | done unknown |
      | answers 503 as a gateway | POST   | 1    | done unknown |
      | drops its connections    | GET    | 2    | done         |

  Scenario: An action without a key runs at most once per submission
    Given a fleet for actions
    When an action without a key is sent and the service drops the connection
    Then the outcomes are "unknown" and the action ran 1 times

  Scenario: A replayed response is marked, also as without a body that was too large to keep
    Given a fleet for actions
    When an action with a large response is sent twice under a permit
    Then the second response is marked as replayed and as without its body

  Scenario: A permit is run by its issuer even if the instance list gives its name to another
    Given a fleet for actions
    When the instance list gives an entry's name to another process
    Then an action under the entry's permit still runs once

  Scenario: The state dump counts keys but does not show them
    Given a fleet for actions
    When an action under a permit has ended
    Then the state dump of the owner counts the key but does not show it
