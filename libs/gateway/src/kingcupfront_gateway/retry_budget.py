"""How many sends beyond the first an instance may make.

Load pattern: many targets fail at once and every instance repeats. The sum
over all instances must stay under a ratio of the requests, without the
instances talking: each uses its own requests only, and a small allowance.
"""

import collections

# The part of the shared ratio that is used; the rest covers continuations
# of generations, which are never held back.
USED_PART = 0.75
# Repeats that an instance may make in a window without requests.
ALLOWANCE = 2


class RetryBudget:
    """Counts requests and repeats of one service over a sliding window.

    :param ratio: repeats allowed for each request.
    :param window: the span in seconds.
    """

    def __init__(self, ratio: float, window: float) -> None:
        self.limit(ratio, window)
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def limit(self, ratio: float, window: float) -> None:
        """Change the limits; what was counted stays."""
        self._ratio = ratio * USED_PART
        self._window = window

    def note_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._forget(now)

    def note_repeat(self, now: float) -> None:
        """Count a further send that is made in any case."""
        self._repeats.append(now)

    def take(self, now: float) -> bool:
        """Take one repeat; return False if none is left."""
        self._forget(now)
        most = self._ratio * len(self._requests) + ALLOWANCE
        if len(self._repeats) + 1 > most:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        for moments in (self._requests, self._repeats):
            while moments and moments[0] < now - self._window:
                moments.popleft()
