"""The Prometheus text format of a process's metrics."""

from collections.abc import Iterator

import prometheus_client
from prometheus_client import core as prometheus_core
from prometheus_client import registry as prometheus_registry

from kingcupfront_core import metrics


class _Collector(prometheus_registry.Collector):
    """Converts metrics into those of the library.

    :param source: the metrics of the process.
    """

    def __init__(self, source: metrics.Metrics) -> None:
        self._source = source

    def collect(self) -> Iterator[prometheus_core.Metric]:
        """Yield all metrics."""
        for counter in list(self._source.counters_by_name.values()):
            yield _convert_counter(counter)
        for histogram in list(self._source.histograms_by_name.values()):
            yield _convert_histogram(histogram)
        for name, (help_text, read) in list(
            self._source.gauges_by_name.items()
        ):
            yield prometheus_core.GaugeMetricFamily(name, help_text, read())


def _convert_counter(counter: metrics.Counter) -> prometheus_core.Metric:
    family = prometheus_core.CounterMetricFamily(
        counter.name, counter.help_text, labels=counter.label_names
    )
    for labels, value in list(counter.values_by_labels.items()):
        family.add_metric(labels, value)
    return family


def _convert_histogram(histogram: metrics.Histogram) -> prometheus_core.Metric:
    name = histogram.name
    family = prometheus_core.Metric(name, histogram.help_text, 'summary')
    for fraction in metrics.QUANTILES:
        family.add_sample(
            name, {'quantile': str(fraction)}, histogram.quantile(fraction)
        )
    family.add_sample(f'{name}_count', {}, histogram.count)
    family.add_sample(f'{name}_sum', {}, histogram.sum_seconds)
    return family


def text(source: metrics.Metrics) -> bytes:
    """Return all metrics of a process in the Prometheus text format.

    :param source: the metrics of the process.
    """
    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(source))
    return prometheus_client.generate_latest(registry)
