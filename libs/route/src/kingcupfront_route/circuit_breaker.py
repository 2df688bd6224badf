"""A circuit breaker that keeps requests from a failing target."""

import enum
import random

CONSECUTIVE_FAILURES_TO_OPEN = 5
FAILURE_FRACTION_TO_OPEN = 0.5
FAILURE_WINDOW_RESULTS = 20
FIRST_OPEN_SECONDS = 2.0
MAX_OPEN_SECONDS = 60.0


class State(enum.StrEnum):
    """The state of a circuit breaker."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


class CircuitBreaker:
    """Opens when a target fails, and lets one probe pass after a back-off.

    The circuit opens after consecutive failures, or when the fraction of
    failures among the latest results is too high. The back-off doubles with
    each failure while it is open, and is drawn at random from the upper half
    of that time, so that entries don't probe a target at the same moment.

    :param rng: the source of random numbers.
    """

    __slots__ = (
        '_consecutive_failures',
        '_failures',
        '_failures_while_open',
        '_open_until',
        '_rng',
        '_successes',
    )

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0.0
        self._successes = 0.0
        self._consecutive_failures = 0
        self._failures_while_open = 0
        self._open_until: float | None = None

    def state(self, now: float) -> State:
        """Return the state at the monotonic second ``now``."""
        if self._open_until is None:
            return State.CLOSED
        return State.OPEN if now < self._open_until else State.HALF_OPEN

    @property
    def open_until(self) -> float | None:
        """The monotonic second of the next probe, or None when closed."""
        return self._open_until

    def record_start(self, now: float) -> None:
        """Record that a request was sent; a probe opens the circuit again."""
        if self.state(now) is State.HALF_OPEN:
            self._open_until = now + self._draw_open_seconds()

    def record_success(self) -> None:
        """Record a success, which closes the circuit."""
        self._decay_counts()
        self._successes += 1
        self._consecutive_failures = 0
        self._failures_while_open = 0
        self._open_until = None

    def record_failure(self, now: float) -> None:
        """Record a failure.

        :param now: the monotonic time in seconds.
        """
        self._decay_counts()
        self._failures += 1
        self._consecutive_failures += 1
        total = self._failures + self._successes
        is_fraction_reached = (
            total >= FAILURE_WINDOW_RESULTS / 2
            and self._failures >= FAILURE_FRACTION_TO_OPEN * total
        )
        if self._open_until is not None:
            self._failures_while_open += 1
            self._open_until = now + self._draw_open_seconds()
        elif (
            self._consecutive_failures >= CONSECUTIVE_FAILURES_TO_OPEN
            or is_fraction_reached
        ):
            self._open_until = now + self._draw_open_seconds()

    def _decay_counts(self) -> None:
        retained_fraction = 1 - 1 / FAILURE_WINDOW_RESULTS
        self._failures *= retained_fraction
        self._successes *= retained_fraction

    def _draw_open_seconds(self) -> float:
        max_open_seconds = min(
            MAX_OPEN_SECONDS, FIRST_OPEN_SECONDS * 2**self._failures_while_open
        )
        return max_open_seconds * self._rng.uniform(0.5, 1.0)
