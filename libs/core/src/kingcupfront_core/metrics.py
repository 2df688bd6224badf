"""Histograms, counters and gauges of a process."""

import contextlib
import typing

from hdrh import histogram

from kingcupfront_core import metrics_snapshot

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000
QUANTILES = (0.5, 0.95, 0.99, 0.999)


class Histogram:
    """A distribution of durations.

    :param name: the name of the metric, ending in ``_seconds``.
    :param help_text: the Prometheus help text, one sentence.
    """

    def __init__(self, name: str, help_text: str) -> None:
        self.name = name
        self.help_text = help_text
        self._histogram = histogram.HdrHistogram(
            LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
        )
        self._sum = 0.0

    @property
    def count(self) -> int:
        """The number of recorded durations."""
        return self._histogram.get_total_count()

    def record(self, seconds: float, count: int = 1) -> None:
        """Record a duration.

        :param seconds: the duration in seconds.
        :param count: how many times to record it.
        """
        micros = int(seconds * MICROSECONDS_PER_SECOND)
        bounded = min(max(micros, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        self._histogram.record_value(bounded, count)
        self._sum += seconds * count

    def quantile(self, fraction: float) -> float:
        """Return a quantile in seconds; the fraction is from 0 to 1."""
        micros = self._histogram.get_value_at_percentile(fraction * 100)
        return micros / MICROSECONDS_PER_SECOND

    def as_dict(self) -> dict[str, float]:
        """Return the count and the quantiles in seconds, for a state dump."""
        values = {f'p{q * 100:g}': self.quantile(q) for q in QUANTILES}
        return {'count': self.count} | values

    @property
    def sum_seconds(self) -> float:
        """The sum of the recorded durations in seconds."""
        return self._sum

    def snapshot(self) -> metrics_snapshot.HistogramValues:
        """Return the current values."""
        return metrics_snapshot.HistogramValues(
            self.name,
            self.help_text,
            {fraction: self.quantile(fraction) for fraction in QUANTILES},
            self.count,
            self.sum_seconds,
        )


class Counter:
    """A count that only rises, for each combination of label values.

    :param name: the name of the metric, without the suffix ``_total``.
    :param help_text: the Prometheus help text, one sentence.
    :param label_names: the names of its labels.
    """

    def __init__(
        self, name: str, help_text: str, label_names: tuple[str, ...]
    ) -> None:
        self.name = name
        self.help_text = help_text
        self.label_names = label_names
        self.values_by_labels: dict[tuple[str, ...], float] = {}
        if not label_names:
            self.values_by_labels[()] = 0.0

    def inc(self, labels: tuple[str, ...] = (), amount: float = 1.0) -> None:
        """Add to the count.

        :param labels: the values of the labels, in the order of their names.
        :param amount: what to add, 0 or more.
        :raises ValueError: if a label's value is missing.
        """
        if len(labels) != len(self.label_names):
            raise ValueError(
                f'{self.name} has the labels {self.label_names}, got {labels}'
            )
        value = self.values_by_labels.get(labels, 0.0)
        self.values_by_labels[labels] = value + amount

    def snapshot(self) -> metrics_snapshot.CounterValues:
        """Return the current values."""
        return metrics_snapshot.CounterValues(
            self.name,
            self.help_text,
            self.label_names,
            dict(self.values_by_labels),
        )


class Metrics:
    """All metrics of one process."""

    def __init__(self) -> None:
        self.histograms_by_name: dict[str, Histogram] = {}
        self.counters_by_name: dict[str, Counter] = {}
        # The help text of each gauge, and what returns its value.
        self.gauges_by_name: dict[
            str, tuple[str, typing.Callable[[], float]]
        ] = {}

    def histogram(self, name: str, help_text: str) -> Histogram:
        """Return the named histogram, created at the first call."""
        if name not in self.histograms_by_name:
            self.histograms_by_name[name] = Histogram(name, help_text)
        return self.histograms_by_name[name]

    def counter(
        self, name: str, help_text: str, labels: tuple[str, ...] = ()
    ) -> Counter:
        """Return the named counter, created at the first call."""
        if name not in self.counters_by_name:
            self.counters_by_name[name] = Counter(name, help_text, labels)
        return self.counters_by_name[name]

    def gauge(
        self, name: str, help_text: str, read: typing.Callable[[], float]
    ) -> None:
        """Register a gauge whose value is read at each collection.

        :param name: the name of the metric.
        :param help_text: the Prometheus help text, one sentence.
        :param read: returns the current value.
        """
        self.gauges_by_name[name] = (help_text, read)

    def snapshot(self) -> metrics_snapshot.Snapshot:
        """Return the current values of all metrics."""
        return metrics_snapshot.Snapshot(
            tuple(c.snapshot() for c in self.counters_by_name.values()),
            tuple(h.snapshot() for h in self.histograms_by_name.values()),
            tuple(
                metrics_snapshot.GaugeValue(name, help_text, read())
                for name, (help_text, read) in list(
                    self.gauges_by_name.items()
                )
            ),
        )

    def as_dict(self) -> dict[str, typing.Any]:
        """Return all metrics for a state dump."""
        counters = {
            f'{counter.name}_total{{{",".join(labels)}}}': value
            for counter in self.counters_by_name.values()
            for labels, value in counter.values_by_labels.items()
        }
        return {
            'counters': counters,
            'gauges': {
                name: read() for name, (_, read) in self.gauges_by_name.items()
            },
            'histograms': {
                name: one.as_dict()
                for name, one in self.histograms_by_name.items()
            },
        }


@contextlib.contextmanager
def timed(
    clock: typing.Any, duration_histogram: Histogram
) -> typing.Iterator[None]:
    """Record the duration of a ``with`` block, also if it raises.

    :param clock: a :class:`kingcupfront_core.clock.Clock`.
    :param duration_histogram: the histogram to record it in.
    """
    start = clock.monotonic()
    try:
        yield
    finally:
        duration_histogram.record(clock.monotonic() - start)
