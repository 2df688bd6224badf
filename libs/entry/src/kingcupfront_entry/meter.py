"""Records measurements of the streams of one process."""

import collections

from kingcupfront_core import metrics

MIN_STALL_SECONDS = 1.0
GAP_STEPS_PER_SECOND = 10_000
MAX_UNFLUSHED_GAPS = 256


class StreamMeter:
    """The histograms and counters of streams.

    Gaps between tokens are collected, rounded down to steps of 0.1 ms, and
    added to their histogram in bulk.

    :param registry: the metrics registry of the process.
    """

    def __init__(self, registry: metrics.Metrics) -> None:
        self._first_token_seconds = registry.histogram(
            'kingcupfront_first_token_seconds',
            'From the request to the first token.',
        )
        self._gap_seconds = registry.histogram(
            'kingcupfront_token_gap_seconds',
            'Waits between arrivals of tokens from an engine.',
        )
        self._unflushed_gap_steps: list[int] = []
        self._stall_seconds = registry.histogram(
            'kingcupfront_stall_seconds',
            f'Waits of over {MIN_STALL_SECONDS:g} s with nothing arriving.',
        )
        self._tokens = registry.counter(
            'kingcupfront_tokens', 'Tokens passed on to callers.'
        )
        self._resumes = registry.counter(
            'kingcupfront_stream_resumes',
            'New connections that took a stream up again.',
        )
        self._restarts = registry.counter(
            'kingcupfront_stream_starts_over',
            'Generations begun anew on another engine.',
            ('reason',),
        )
        self._callers_left = registry.counter(
            'kingcupfront_callers_left',
            'Callers that went away before the end.',
        )

    def record_first_token(self, seconds: float) -> None:
        """Record a time to first token, in seconds."""
        self._first_token_seconds.record(seconds)

    def record_gap(self, gap_seconds: float) -> None:
        """Record the gap before tokens that arrived together, in seconds."""
        self._unflushed_gap_steps.append(
            int(gap_seconds * GAP_STEPS_PER_SECOND)
        )
        if gap_seconds > MIN_STALL_SECONDS:
            self._stall_seconds.record(gap_seconds)
        if len(self._unflushed_gap_steps) >= MAX_UNFLUSHED_GAPS:
            self._flush()

    def record_end(self, tokens: int, resumes: int) -> None:
        """Count the tokens and reconnections of a stream from one engine.

        :param tokens: the number of tokens passed on to the caller.
        :param resumes: the number of connections that resumed the stream.
        """
        self._flush()
        self._tokens.inc(amount=tokens)
        self._resumes.inc(amount=resumes)

    def _flush(self) -> None:
        counts = collections.Counter(self._unflushed_gap_steps)
        self._unflushed_gap_steps.clear()
        for step, count in counts.items():
            self._gap_seconds.record(step / GAP_STEPS_PER_SECOND, count)

    def count_restart(self, reason: str) -> None:
        """Count a generation that was restarted.

        :param reason: the code of the error that caused the restart.
        """
        self._restarts.inc((reason,))

    def count_caller_left(self) -> None:
        """Count a caller that disconnected before its stream ended."""
        self._callers_left.inc()
