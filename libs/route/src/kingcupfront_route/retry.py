"""Retry budgets and back-off."""

import random

BUDGET_FRACTION = 0.1
MAX_BUDGET = 20.0
ROUNDING = 1e-9
FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 5.0


class RetryBudget:
    """Allows retries only as a fraction of first tries.

    Each first try adds a fraction of a retry, up to a bound, so retries
    can't grow the load by more than that fraction for long.

    :param fraction: retries allowed for each first try.
    :param most: the largest number of retries saved up.
    """

    def __init__(
        self, fraction: float = BUDGET_FRACTION, most: float = MAX_BUDGET
    ) -> None:
        self.fraction = fraction
        self._most = most
        self._left = most

    @property
    def left(self) -> float:
        """Retries that may be made now."""
        return self._left

    def deposit(self) -> None:
        """Count a first try."""
        self._left = min(self._most, self._left + self.fraction)

    def try_withdraw(self) -> bool:
        """Take one retry; return False if none is left."""
        if self._left < 1 - ROUNDING:
            return False
        self._left -= 1
        return True


def delay(attempt: int, rng: random.Random) -> float:
    """Return the seconds to wait before a retry, with full jitter.

    Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015.

    :param attempt: 0 for the first retry.
    :param rng: the source of random numbers.
    """
    longest = min(MAX_DELAY_SECONDS, FIRST_DELAY_SECONDS * 2**attempt)
    return rng.uniform(0, longest)
