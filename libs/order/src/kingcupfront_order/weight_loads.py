"""The pace at which engines may read weights from a store."""

from kingcupfront_config import objects
from kingcupfront_core import clock


class WeightLoadLimiter:
    """Spaces the loads that one sender orders from each store.

    All loads from a store have the same sender. While two entries see
    different senders, the bound holds for each of them.

    :param time: the clock.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._load_ends_by_store: dict[str, list[float]] = {}

    def may_start(self, store: objects.Store) -> bool:
        """Return whether a load may begin now."""
        now = self._clock.monotonic()
        ends = self._load_ends_by_store.get(store.name, [])
        self._load_ends_by_store[store.name] = [e for e in ends if e > now]
        return len(self._load_ends_by_store[store.name]) < store.max_loads

    def record_start(self, store: objects.Store, weights_bytes: int) -> None:
        """Note that a load begins.

        :param store: the store.
        :param size: the size of the weights in bytes.
        """
        seconds = 0.0
        if store.bytes_per_second:
            seconds = weights_bytes * store.max_loads / store.bytes_per_second
        ends = self._load_ends_by_store.setdefault(store.name, [])
        ends.append(self._clock.monotonic() + seconds)
