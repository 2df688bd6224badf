"""The clock of deadlines and ages, which counts suspensions too."""

import time


class BootClock:
    """Seconds since the start of the machine.

    ``CLOCK_MONOTONIC`` stands still while a machine is suspended, so an age
    that it measures may be too small.
    """

    def monotonic(self) -> float:
        """Return seconds that never go back and never pause."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


BOOT = BootClock()
