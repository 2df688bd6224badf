"""Histograms, counters and gauges of a process."""

import contextlib
import typing

from hdrh import histogram
import prometheus_client
from prometheus_client import core as prometheus_core
from prometheus_client import registry as prometheus_registry

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

    def collect(self) -> prometheus_core.Metric:
        """Return the distribution as a Prometheus summary."""
        metric = prometheus_core.Metric(self.name, self.help_text, 'summary')
        for q in QUANTILES:
            metric.add_sample(
                self.name, {'quantile': str(q)}, self.quantile(q)
            )
        metric.add_sample(self.name + '_count', {}, self.count)
        metric.add_sample(self.name + '_sum', {}, self._sum)
        return metric


class Metrics(prometheus_registry.Collector):
    """All metrics of one process."""

    def __init__(self) -> None:
        self._histograms: dict[str, Histogram] = {}
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(self)
        self._counters: dict[str, prometheus_client.Counter] = {}
        self._gauges: dict[str, tuple[str, typing.Callable[[], float]]] = {}

    def histogram(self, name: str, help_text: str) -> Histogram:
        """Return the named histogram, created at the first call."""
        if name not in self._histograms:
            self._histograms[name] = Histogram(name, help_text)
        return self._histograms[name]

    def counter(
        self, name: str, help_text: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Counter:
        """Return the named counter, created at the first call."""
        if name not in self._counters:
            self._counters[name] = prometheus_client.Counter(
                name, help_text, labels, registry=self._registry
            )
        return self._counters[name]

    def gauge(
        self, name: str, help_text: str, read: typing.Callable[[], float]
    ) -> None:
        """Register a gauge whose value is read at each collection.

        :param name: the name of the metric.
        :param help_text: the Prometheus help text, one sentence.
        :param read: returns the current value.
        """
        self._gauges[name] = (help_text, read)

    def collect(self) -> typing.Iterator[prometheus_core.Metric]:
        """Yield the histograms and gauges as Prometheus metrics."""
        for item in list(self._histograms.values()):
            yield item.collect()
        for name, (help_text, read) in list(self._gauges.items()):
            yield prometheus_core.GaugeMetricFamily(name, help_text, read())

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return all metrics for a state dump."""
        counters = {}
        for metric in self._registry.collect():
            if metric.type != 'counter':
                continue
            for sample in metric.samples:
                if sample.name.endswith('_total'):
                    labels = ','.join(sample.labels.values())
                    counters[f'{sample.name}{{{labels}}}'] = sample.value
        histograms = {h.name: h.as_dict() for h in self._histograms.values()}
        gauges = {name: read() for name, (_, read) in self._gauges.items()}
        return {
            'counters': counters,
            'gauges': gauges,
            'histograms': histograms,
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
