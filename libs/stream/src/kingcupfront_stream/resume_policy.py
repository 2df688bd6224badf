"""Decides when to retry a resume on an engine and when to give up."""

import random

from kingcupfront_core import clock
from kingcupfront_stream import errors

MAX_SECONDS_WITHOUT_PROGRESS = 60.0
FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 2.0
MAX_PROTOCOL_FAILURES = 6
MAX_REFUSED_CONNECTIONS = 3
GENERATION_GONE_STATUSES = frozenset({404, 409, 410})


class ResumePolicy:
    """Back-off and give-up rules for resuming one generation.

    All counts restart when tokens arrive.

    :param time: the clock.
    :param rng: the source of jitter.
    :param deadline: deadline of the first token, in monotonic seconds.
    """

    def __init__(
        self,
        time: clock.Clock,
        rng: random.Random,
        deadline: float = float('inf'),
    ) -> None:
        self._clock = time
        self._rng = rng
        self._deadline = deadline
        self._last_progress_at = time.monotonic()
        self._failures = 0
        self._protocol_failures = 0
        self._refused_connections = 0

    @property
    def first_token_seconds_left(self) -> float:
        """Seconds to the first token's deadline, at least the first delay."""
        first_token_seconds_left = self._deadline - self._clock.monotonic()
        return max(first_token_seconds_left, FIRST_DELAY_SECONDS)

    def record_progress(self) -> None:
        """Reset all failure counts and the deadline after tokens arrived."""
        self._last_progress_at = self._clock.monotonic()
        self._deadline = float('inf')
        self._failures = self._protocol_failures = (
            self._refused_connections
        ) = 0

    def delay(self, error: errors.EngineError) -> float | None:
        """Return the delay before the next resume, or None to give up.

        A reachable engine that sends nothing is retried, since it may have
        paused the generation for lack of memory. Refused connections mean
        that the engine process is dead; status 404, 409 or 410 means that
        it no longer has the generation.

        :param error: the most recent failure.
        :returns: the delay in seconds.
        """
        self._failures += 1
        self._protocol_failures += isinstance(error, errors.BrokenError)
        if isinstance(error, errors.UnreachableError):
            self._refused_connections += error.closed
        if self._should_give_up(error):
            return None
        if self._failures == 1:
            return 0.0
        delay = FIRST_DELAY_SECONDS * 2 ** min(self._failures - 2, 10)
        delay = min(delay, MAX_DELAY_SECONDS)
        return delay * self._rng.uniform(0.5, 1.0)

    def _should_give_up(self, error: errors.EngineError) -> bool:
        now = self._clock.monotonic()
        generation_gone = (
            isinstance(error, errors.RefusedError)
            and error.status in GENERATION_GONE_STATUSES
        )
        return (
            generation_gone
            or self._protocol_failures >= MAX_PROTOCOL_FAILURES
            or self._refused_connections >= MAX_REFUSED_CONNECTIONS
            or now > self._last_progress_at + MAX_SECONDS_WITHOUT_PROGRESS
            or now > self._deadline
        )
