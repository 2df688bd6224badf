"""The values of a process's metrics at one time."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CounterValues:
    """The values of a counter.

    :param name: the name of the metric, without the suffix ``_total``.
    :param help_text: the Prometheus help text.
    :param label_names: the names of its labels.
    :param values_by_labels: its value for each combination of label values.
    """

    name: str
    help_text: str
    label_names: tuple[str, ...]
    values_by_labels: dict[tuple[str, ...], float]


@dataclasses.dataclass(frozen=True)
class HistogramValues:
    """The values of a distribution of durations.

    :param name: the name of the metric.
    :param help_text: the Prometheus help text.
    :param seconds_by_quantile: quantiles, whose fractions are from 0 to 1.
    :param count: the number of recorded durations.
    :param sum_seconds: their sum in seconds.
    """

    name: str
    help_text: str
    seconds_by_quantile: dict[float, float]
    count: int
    sum_seconds: float


@dataclasses.dataclass(frozen=True)
class GaugeValue:
    """The value of a gauge.

    :param name: the name of the metric.
    :param help_text: the Prometheus help text.
    :param value: its value.
    """

    name: str
    help_text: str
    value: float


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The values of all metrics."""

    counters: tuple[CounterValues, ...]
    histograms: tuple[HistogramValues, ...]
    gauges: tuple[GaugeValue, ...]
