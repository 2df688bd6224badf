"""Measures the streams of one process."""

import collections

from kingcupfront_core import metrics

STALL_SECONDS = 1.0
STEPS_PER_SECOND = 10_000
FLUSH_COUNT = 256


class Meter:
    """Histograms and counters of streams.

    :param registry: the metrics of the process.
    """

    def __init__(self, registry: metrics.Metrics) -> None:
        self._first = registry.histogram(
            'kingcupfront_first_token_seconds',
            'From the request to the first token.',
        )
        self._gaps = registry.histogram(
            'kingcupfront_token_gap_seconds',
            'Waits between arrivals of tokens from an engine.',
        )
        self._steps: list[int] = []
        self._stalls = registry.histogram(
            'kingcupfront_stall_seconds',
            f'Waits of over {STALL_SECONDS:g} s with nothing arriving.',
        )
        self._tokens = registry.counter(
            'kingcupfront_tokens', 'Tokens passed on to callers.'
        )
        self._resumes = registry.counter(
            'kingcupfront_stream_resumes',
            'New connections that took a stream up again.',
        )
        self._starts = registry.counter(
            'kingcupfront_stream_starts_over',
            'Generations begun anew on another engine.',
            ('reason',),
        )
        self._left = registry.counter(
            'kingcupfront_callers_left',
            'Callers that went away before the end.',
        )

    def first(self, seconds: float) -> None:
        """Record the time to a first token, in seconds."""
        self._first.record(seconds)

    def arrived(self, gap: float) -> None:
        """Record the wait for tokens that arrived together, in seconds."""
        self._steps.append(int(gap * STEPS_PER_SECOND))
        if gap > STALL_SECONDS:
            self._stalls.record(gap)
        if len(self._steps) >= FLUSH_COUNT:
            self._flush()

    def ended(self, tokens: int, resumes: int) -> None:
        """Count what passed on one engine.

        :param tokens: tokens that were passed on.
        :param resumes: connections that took the stream up again.
        """
        self._flush()
        self._tokens.inc(tokens)
        self._resumes.inc(resumes)

    def _flush(self) -> None:
        counts = collections.Counter(self._steps)
        self._steps.clear()
        for step, count in counts.items():
            self._gaps.record(step / STEPS_PER_SECOND, count)

    def started_over(self, reason: str) -> None:
        """Count a generation that was begun anew.

        :param reason: the code of the failure that led to it.
        """
        self._starts.labels(reason).inc()

    def left(self) -> None:
        """Count a caller that went away."""
        self._left.inc()
