"""When to try a generation's engine again, and when to give it up."""

import random

from kingcupfront_core import clock
from kingcupfront_stream import errors

PATIENCE_SECONDS = 60.0
FIRST_DELAY_SECONDS = 0.05
HIGHEST_DELAY_SECONDS = 2.0
MAX_BROKEN = 6
MAX_CLOSED = 3
FORGOTTEN_STATUSES = frozenset({404, 409, 410})


class Patience:
    """Counts failures since the last progress of one generation.

    :param time: the clock.
    :param rng: the source of jitter.
    :param deadline: the latest monotonic second for the first token.
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
        self._since = time.monotonic()
        self._failures = 0
        self._broken = 0
        self._closed = 0

    @property
    def left(self) -> float:
        """The seconds until the first token is due; at least a moment."""
        left = self._deadline - self._clock.monotonic()
        return max(left, FIRST_DELAY_SECONDS)

    def progress(self) -> None:
        """Start anew, since tokens arrived."""
        self._since = self._clock.monotonic()
        self._deadline = float('inf')
        self._failures = self._broken = self._closed = 0

    def delay(self, error: errors.EngineError) -> float | None:
        """Return the seconds to wait before a resume; None to give up.

        An engine that is reachable but silent keeps its generation: it may
        have paused it for memory. One whose host says that nothing listens
        is dead, and one that does not know the generation has lost it.

        :param error: the newest failure.
        """
        self._failures += 1
        self._broken += isinstance(error, errors.BrokenError)
        if isinstance(error, errors.UnreachableError):
            self._closed += error.closed
        if self._ends(error):
            return None
        if self._failures == 1:
            return 0.0
        delay = FIRST_DELAY_SECONDS * 2 ** min(self._failures - 2, 10)
        delay = min(delay, HIGHEST_DELAY_SECONDS)
        return delay * self._rng.uniform(0.5, 1.0)

    def _ends(self, error: errors.EngineError) -> bool:
        now = self._clock.monotonic()
        forgotten = (
            isinstance(error, errors.RefusedError)
            and error.status in FORGOTTEN_STATUSES
        )
        return (
            forgotten
            or self._broken >= MAX_BROKEN
            or self._closed >= MAX_CLOSED
            or now > self._since + PATIENCE_SECONDS
            or now > self._deadline
        )
