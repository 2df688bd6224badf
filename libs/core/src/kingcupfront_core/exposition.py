"""The Prometheus text format of a process's metrics.

The library for the format takes much memory, and most processes are never
asked for their metrics. Import this module where the text is needed.
"""

from collections.abc import Iterator

import prometheus_client
from prometheus_client import core as prometheus_core
from prometheus_client import registry as prometheus_registry

from kingcupfront_core import metrics_snapshot


class _Collector(prometheus_registry.Collector):
    """Converts metrics into those of the library.

    :param source: the values of the metrics.
    """

    def __init__(self, source: metrics_snapshot.Snapshot) -> None:
        self._source = source

    def collect(self) -> Iterator[prometheus_core.Metric]:
        """Yield all metrics."""
        for counter in self._source.counters:
            yield _convert_counter(counter)
        for histogram in self._source.histograms:
            yield _convert_histogram(histogram)
        for gauge in self._source.gauges:
            yield prometheus_core.GaugeMetricFamily(
                gauge.name, gauge.help_text, gauge.value
            )


def _convert_counter(
    counter: metrics_snapshot.CounterValues,
) -> prometheus_core.Metric:
    family = prometheus_core.CounterMetricFamily(
        counter.name, counter.help_text, labels=counter.label_names
    )
    for labels, value in counter.values_by_labels.items():
        family.add_metric(labels, value)
    return family


def _convert_histogram(
    histogram: metrics_snapshot.HistogramValues,
) -> prometheus_core.Metric:
    name = histogram.name
    family = prometheus_core.Metric(name, histogram.help_text, 'summary')
    for fraction, seconds in histogram.seconds_by_quantile.items():
        family.add_sample(name, {'quantile': str(fraction)}, seconds)
    family.add_sample(f'{name}_count', {}, histogram.count)
    family.add_sample(f'{name}_sum', {}, histogram.sum_seconds)
    return family


def text(source: metrics_snapshot.Snapshot) -> bytes:
    """Return all metrics of a process in the Prometheus text format.

    :param source: the values of the metrics.
    """
    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(source))
    return prometheus_client.generate_latest(registry)
