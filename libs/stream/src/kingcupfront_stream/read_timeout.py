"""Read timeout that adapts to the gaps between events of a stream."""

import dataclasses

FIRST_SECONDS = 5.0
MIN_SECONDS = 0.5
MAX_SECONDS = 10.0
MEAN_SHARE = 1 / 8
DEVIATION_SHARE = 1 / 4
DEVIATIONS = 4


@dataclasses.dataclass
class AdaptiveReadTimeout:
    """A read timeout estimated from the gaps of one stream.

    The timeout is the mean gap plus four mean deviations, like TCP's
    retransmission timeout (Jacobson, "Congestion avoidance and control",
    SIGCOMM 1988). It doubles with each time-out; the next arrival resets
    the factor.

    >>> timeout = AdaptiveReadTimeout()
    >>> timeout.double()
    >>> timeout.seconds
    10.0
    """

    _mean: float = FIRST_SECONDS
    _deviation: float = 0.0
    _observed: bool = False
    _factor: int = 1

    @property
    def seconds(self) -> float:
        """The current timeout in seconds."""
        bound = self._mean + DEVIATIONS * self._deviation
        return min(max(bound, MIN_SECONDS) * self._factor, MAX_SECONDS)

    def observe(self, gap: float) -> None:
        """Update the estimate with the time between two arrivals.

        :param gap: the time in seconds.
        """
        self._factor = 1
        if not self._observed:
            self._observed = True
            self._mean, self._deviation = gap, gap / 2
            return
        error = gap - self._mean
        self._mean += MEAN_SHARE * error
        self._deviation += DEVIATION_SHARE * (abs(error) - self._deviation)

    def double(self) -> None:
        """Double the timeout of the next connection."""
        self._factor = min(self._factor * 2, 1 << 10)
