"""Detection of pauses of this process."""

from kingcupfront_core import clock

MAX_GAP_SECONDS = 1.0


class PauseDetector:
    """Detects that this process did not run for a while.

    A task calls :meth:`check_for_pause` often. A long gap between two calls,
    on the monotonic clock or the wall clock, means that the process or its
    machine was paused, so that its view of others may be outdated.

    :param time: the clock.
    :param limit_seconds: the longest gap that does not count as a pause.
    """

    def __init__(
        self, time: clock.Clock, limit_seconds: float = MAX_GAP_SECONDS
    ) -> None:
        self._clock = time
        self._limit = limit_seconds
        self._monotonic = time.monotonic()
        self._wall = time.wall()
        self.count = 0
        self.longest_seconds = 0.0

    def check_for_pause(self) -> bool:
        """Measure the time since the last call and count long gaps.

        :returns: whether the process was paused since the last call.
        """
        monotonic, wall = self._clock.monotonic(), self._clock.wall()
        gap = max(monotonic - self._monotonic, wall - self._wall)
        self._monotonic, self._wall = monotonic, wall
        if gap <= self._limit:
            return False
        self.count += 1
        self.longest_seconds = max(self.longest_seconds, gap)
        return True
