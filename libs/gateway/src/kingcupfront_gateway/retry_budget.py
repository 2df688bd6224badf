"""Limits the retries of an instance.

Load pattern: many targets fail at once and every instance retries. All
instances together must stay below a ratio of retries to requests, without
communicating. Each one counts its own requests only and has a small allowance
in addition.
"""

import collections

# The fraction of the shared ratio that retries may use. The rest covers
# generations that continue elsewhere, which are never held back.
USABLE_FRACTION = 0.75
# Retries beyond the ratio, so that an instance with few requests can retry.
EXTRA_RETRIES_PER_WINDOW = 2


class RetryBudget:
    """Counts the requests and retries of one service in a sliding window.

    :param ratio: the retries allowed per request.
    :param window: the length of the window in seconds.
    """

    def __init__(self, ratio: float, window: float) -> None:
        self.set_limits(ratio, window)
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def set_limits(self, ratio: float, window: float) -> None:
        """Change the limits and keep the counts."""
        self._ratio = ratio * USABLE_FRACTION
        self._window = window

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._drop_expired(now)

    def record_retry(self, now: float) -> None:
        """Count a retry that is made regardless of the budget."""
        self._retries.append(now)

    def has_left(self, now: float) -> bool:
        """Return whether a retry may be taken from the budget."""
        self._drop_expired(now)
        allowed = self._ratio * len(self._requests) + EXTRA_RETRIES_PER_WINDOW
        return len(self._retries) + 1 <= allowed

    def try_acquire(self, now: float) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if not self.has_left(now):
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now - self._window:
                times.popleft()
