"""The clock for deadlines and ages, which also counts suspended time."""

import time


class BootClock:
    """Measures time since the machine booted, including suspended time.

    ``CLOCK_MONOTONIC`` stops while a machine is suspended, so ages measured
    with it may be too small.
    """

    def monotonic(self) -> float:
        """Return seconds that never go backwards and never stop."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


BOOT = BootClock()
