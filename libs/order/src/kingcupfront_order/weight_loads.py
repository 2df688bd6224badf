"""A limit on how many engines load weights from a store at a time."""

from kingcupfront_config import objects
from kingcupfront_core import clock


class WeightLoadLimiter:
    """Limits the concurrent weight loads that one sender orders per store.

    A load counts as in progress for the time that it takes at an equal share
    of the bandwidth of the store. All loads from a store are ordered by
    the same sender. While entries disagree on which one that is, the limit
    holds for each sender alone.

    :param time: the clock.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._load_ends_by_store: dict[str, list[float]] = {}

    def may_start(self, store: objects.Store) -> bool:
        """Return whether a load may start now."""
        now = self._clock.monotonic()
        ends = self._load_ends_by_store.get(store.name, [])
        self._load_ends_by_store[store.name] = [e for e in ends if e > now]
        return len(self._load_ends_by_store[store.name]) < store.max_loads

    def record_start(self, store: objects.Store, weights_bytes: int) -> None:
        """Record that a load starts now.

        :param store: the store.
        :param weights_bytes: the size of the weights in bytes.
        """
        seconds = 0.0
        if store.bytes_per_second:
            seconds = weights_bytes * store.max_loads / store.bytes_per_second
        ends = self._load_ends_by_store.setdefault(store.name, [])
        ends.append(self._clock.monotonic() + seconds)
