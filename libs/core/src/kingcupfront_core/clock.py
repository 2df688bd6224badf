"""Clocks that decisions take as an argument."""

import dataclasses
import time
import typing


class Clock(typing.Protocol):
    """Anything that tells the time."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""

    def wall(self) -> float:
        """Return seconds since the epoch."""


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


@dataclasses.dataclass
class ManualClock:
    """A clock that moves only when told to.

    :param now: seconds, both monotonic and since the epoch.
    """

    now: float = 1_000_000.0

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        return self.now

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: how far, in seconds.
        """
        self.now += seconds


SYSTEM = SystemClock()
