"""How many sends beyond the first an instance may make.

Load pattern: many targets fail at once and every instance repeats. The sum
over all instances must stay under a ratio of the requests, without the
instances talking: each uses its own requests only, and a small allowance.
"""

import collections

# The part of the shared ratio that is used; the rest covers continuations
# of generations, which are never held back.
LOCAL_SHARE = 0.75
# Repeats that an instance may make in a window without requests.
MIN_RETRIES_PER_WINDOW = 2


class RetryBudget:
    """Counts requests and repeats of one service over a sliding window.

    :param ratio: repeats allowed for each request.
    :param window: the span in seconds.
    """

    def __init__(self, ratio: float, window: float) -> None:
        self.set_limits(ratio, window)
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def set_limits(self, ratio: float, window: float) -> None:
        """Change the limits; what was counted stays."""
        self._ratio = ratio * LOCAL_SHARE
        self._window = window

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._drop_expired(now)

    def record_retry(self, now: float) -> None:
        """Count a further send that is made in any case."""
        self._retries.append(now)

    def try_acquire(self, now: float) -> bool:
        """Take one repeat; return False if none is left."""
        self._drop_expired(now)
        allowed = self._ratio * len(self._requests) + MIN_RETRIES_PER_WINDOW
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for moments in (self._requests, self._retries):
            while moments and moments[0] < now - self._window:
                moments.popleft()
