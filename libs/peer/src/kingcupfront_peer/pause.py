"""Detection of pauses of the own process."""

from kingcupfront_core import clock

PAUSE_SECONDS = 1.0


class PauseDetector:
    """Notices that the process did not run for a while.

    A task calls :meth:`tick` often. A gap between two calls, on the
    monotonic clock or the wall clock, means that the process or its machine
    was paused, and that what it believes of others may be old.

    :param time: the clock.
    :param limit_seconds: the longest gap that is no pause, in seconds.
    """

    def __init__(
        self, time: clock.Clock, limit_seconds: float = PAUSE_SECONDS
    ) -> None:
        self._clock = time
        self._limit = limit_seconds
        self._monotonic = time.monotonic()
        self._wall = time.wall()
        self.count = 0
        self.longest_seconds = 0.0

    def check_for_pause(self) -> bool:
        """Note that the process runs.

        :returns: whether it was paused since the last call.
        """
        monotonic, wall = self._clock.monotonic(), self._clock.wall()
        gap = max(monotonic - self._monotonic, wall - self._wall)
        self._monotonic, self._wall = monotonic, wall
        if gap <= self._limit:
            return False
        self.count += 1
        self.longest_seconds = max(self.longest_seconds, gap)
        return True
