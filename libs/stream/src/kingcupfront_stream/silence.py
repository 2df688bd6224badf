"""How long a connection may be silent before it is given up."""

import dataclasses

FIRST_SECONDS = 5.0
LOWEST_SECONDS = 0.5
HIGHEST_SECONDS = 10.0
MEAN_SHARE = 1 / 8
DEVIATION_SHARE = 1 / 4
DEVIATIONS = 4


@dataclasses.dataclass
class SilenceBound:
    """A bound on silence that follows the gaps of one stream.

    The mean gap plus four mean deviations, as the retransmission timeout
    of TCP (Jacobson, "Congestion avoidance and control", SIGCOMM 1988);
    it doubles with each silence and falls back with the next arrival.

    >>> bound = SilenceBound()
    >>> bound.back_off()
    >>> bound.seconds
    10.0
    """

    _mean: float = FIRST_SECONDS
    _deviation: float = 0.0
    _observed: bool = False
    _factor: int = 1

    @property
    def seconds(self) -> float:
        """The bound in seconds."""
        bound = self._mean + DEVIATIONS * self._deviation
        return min(max(bound, LOWEST_SECONDS) * self._factor, HIGHEST_SECONDS)

    def observe(self, gap: float) -> None:
        """Take in the time between two arrivals.

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

    def back_off(self) -> None:
        """Be twice as patient with the next connection."""
        self._factor = min(self._factor * 2, 1 << 10)
