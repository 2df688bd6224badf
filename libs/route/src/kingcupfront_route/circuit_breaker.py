"""A circuit that keeps work from a failing target."""

import enum
import random

FAILURES_TO_OPEN = 5
FAILURE_FRACTION = 0.5
WINDOW_RESULTS = 20
OPEN_SECONDS = 2.0
MAX_OPEN_SECONDS = 60.0


class State(enum.StrEnum):
    """Whether work may pass."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


class CircuitBreaker:
    """Opens when a target fails, and lets one probe through after a while.

    The time that it stays open doubles with each failed probe and is drawn
    at random from its upper half, so that entries don't probe together.

    :param rng: the source of random numbers.
    """

    __slots__ = ('_fails', '_oks', '_open_until', '_rng', '_row', '_tries')

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._fails = 0.0
        self._oks = 0.0
        self._row = 0
        self._tries = 0
        self._open_until: float | None = None

    def state(self, now: float) -> State:
        """Return the state at a monotonic second."""
        if self._open_until is None:
            return State.CLOSED
        return State.OPEN if now < self._open_until else State.HALF_OPEN

    @property
    def opens_until(self) -> float | None:
        """The monotonic second of the next probe, or None if closed."""
        return self._open_until

    def start(self, now: float) -> None:
        """Note that a job was sent; a probe closes the door behind it."""
        if self.state(now) is State.HALF_OPEN:
            self._open_until = now + self._pause()

    def succeed(self) -> None:
        """Take in a success."""
        self._fade()
        self._oks += 1
        self._row = 0
        self._tries = 0
        self._open_until = None

    def fail(self, now: float) -> None:
        """Take in a failure.

        :param now: the monotonic time in seconds.
        """
        self._fade()
        self._fails += 1
        self._row += 1
        total = self._fails + self._oks
        often = (
            total >= WINDOW_RESULTS / 2
            and self._fails >= FAILURE_FRACTION * total
        )
        if self._open_until is not None:
            self._tries += 1
            self._open_until = now + self._pause()
        elif self._row >= FAILURES_TO_OPEN or often:
            self._open_until = now + self._pause()

    def _fade(self) -> None:
        keep = 1 - 1 / WINDOW_RESULTS
        self._fails *= keep
        self._oks *= keep

    def _pause(self) -> float:
        longest = min(MAX_OPEN_SECONDS, OPEN_SECONDS * 2**self._tries)
        return longest * self._rng.uniform(0.5, 1.0)
