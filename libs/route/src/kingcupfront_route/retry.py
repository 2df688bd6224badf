"""Retry budgets and back-off."""

import random

DEFAULT_RETRY_FRACTION = 0.1
MAX_SAVED_RETRIES = 20.0
ROUNDING_TOLERANCE = 1e-9
FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 5.0


class RetryBudget:
    """Limits retries to a fraction of the first attempts.

    Each first attempt adds a fraction of a retry to the budget, up to a
    maximum, so that retries can't raise the load by more than that fraction
    for long. The budget starts at its maximum.

    :param fraction: retries allowed per first attempt.
    :param max_retries: the most retries that can be saved up.
    """

    def __init__(
        self,
        fraction: float = DEFAULT_RETRY_FRACTION,
        max_retries: float = MAX_SAVED_RETRIES,
    ) -> None:
        self.fraction = fraction
        self._max_retries = max_retries
        self._available = max_retries

    @property
    def available(self) -> float:
        """The retries that may be made now; may be fractional."""
        return self._available

    def deposit(self) -> None:
        """Count a first attempt."""
        self._available = min(
            self._max_retries, self._available + self.fraction
        )

    def try_withdraw(self) -> bool:
        """Take one retry and return True, or return False if none is left."""
        if self._available < 1 - ROUNDING_TOLERANCE:
            return False
        self._available -= 1
        return True


def backoff_seconds(attempt: int, rng: random.Random) -> float:
    """Return the back-off before a retry in seconds, with full jitter.

    Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015.

    :param attempt: 0 for the first retry.
    :param rng: the source of random numbers.
    """
    ceiling = min(MAX_DELAY_SECONDS, FIRST_DELAY_SECONDS * 2**attempt)
    return rng.uniform(0, ceiling)
