"""Clocks, passed as arguments so that tests can control time."""

import dataclasses
import time
import typing


class Clock(typing.Protocol):
    """A source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return monotonic time in seconds."""

    def wall(self) -> float:
        """Return wall-clock time in seconds since the Unix epoch."""


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return wall-clock time in seconds since the Unix epoch."""
        return time.time()


@dataclasses.dataclass
class ManualClock:
    """A clock for tests that moves only when it is advanced.

    :param now: the time in seconds, used as monotonic and wall-clock time.
    """

    now: float = 1_000_000.0

    def monotonic(self) -> float:
        """Return monotonic time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return wall-clock time in seconds since the Unix epoch."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by a number of seconds."""
        self.now += seconds


SYSTEM = SystemClock()
