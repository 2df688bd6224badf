Feature: Metrics of a process

  Scenario: All kinds of metrics are given in the Prometheus text format
    Given a process with a counter, a counter with labels, a histogram and a gauge
    When its metrics are used and read as text
    Then a parser of the format finds these samples
      | sample         | labels        | value |
      | plain_total    |               | 2     |
      | labelled_total | outcome=done  | 1     |
      | labelled_total | outcome=lost  | 3     |
      | waits_seconds_count |          | 2     |
      | waits_seconds_sum   |          | 0.75  |
      | room           |               | 7     |
    And the state dump shows the same counters

  Scenario: A counter refuses missing labels
    Given a process with a counter, a counter with labels, a histogram and a gauge
    Then counting without a label is an error that names the labels

  Scenario: A gateway loads the library of the text format only when it is asked for metrics
    When the modules of a gateway are imported in a new interpreter
    Then these modules are not among the loaded ones
      | module            |
      | prometheus_client |
      | http.server       |
      | urllib.request    |

  # An import within a function hid a cycle between the two modules.
  Scenario Outline: The metrics and their text format do not import each other
    When the module "<module>" is imported in a new interpreter
    Then the module "<other>" is not among the loaded ones
    And neither module names the other

    Examples:
      | module     | other      |
      | metrics    | exposition |
      | exposition | metrics    |

  Scenario: The text is made from values that do not change any more
    Given a process with a counter, a counter with labels, a histogram and a gauge
    When its metrics are used and read as text
    Then a snapshot keeps its values when the metrics change

  Scenario: A gateway gives its metrics as text
    Given a site with plain targets "a"
    And the gateway runs
    When a caller sends a request to route "once"
    Then the text of the gateway's metrics counts 1 request with status 200
