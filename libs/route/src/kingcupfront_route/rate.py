"""A rate that forgets."""

import math

HALF_LIFE_SECONDS = 5.0


class DecayingRate:
    """Amounts per second, with an exponentially fading memory.

    :param half_life: seconds after which an amount counts half.
    """

    def __init__(self, half_life: float = HALF_LIFE_SECONDS) -> None:
        self._decay = math.log(2) / half_life
        self._value = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount.

        :param amount: how much.
        :param now: the monotonic time in seconds.
        """
        self._value = self._faded(now) + amount
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the present rate."""
        return self._faded(now) * self._decay

    def _faded(self, now: float) -> float:
        return self._value * math.exp(-self._decay * max(0, now - self._at))
