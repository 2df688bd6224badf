"""Exponentially decaying rates."""

import math

HALF_LIFE_SECONDS = 5.0


class DecayingRate:
    """The rate of recent amounts per second, older ones weighted less.

    :param half_life: seconds after which the weight of an amount has halved.
    """

    def __init__(self, half_life: float = HALF_LIFE_SECONDS) -> None:
        self._decay_per_second = math.log(2) / half_life
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount.

        :param amount: the amount.
        :param now: the monotonic time in seconds.
        """
        self._value = self._decayed_value(now) + amount
        self._updated_at = now

    def per_second(self, now: float) -> float:
        """Return the rate at a monotonic second."""
        return self._decayed_value(now) * self._decay_per_second

    def _decayed_value(self, now: float) -> float:
        return self._value * math.exp(
            -self._decay_per_second * max(0, now - self._updated_at)
        )
