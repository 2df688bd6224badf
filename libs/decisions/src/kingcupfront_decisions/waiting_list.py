"""The order of the requests of an instance that wait for the same room.

Load pattern: many requests wait while engines are full. If each asks for
itself, the one that happens to ask when room comes gets it.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools


@dataclasses.dataclass(eq=False)
class Place:
    """The place of one request.

    :param on_first: called when it becomes the first.
    """

    on_first: Callable[[], None]
    is_first: bool = False
    has_left: bool = False


class WaitingLists:
    """Waiting requests by what they wait for, the most urgent first.

    Entering and leaving take logarithmic time.
    """

    def __init__(self) -> None:
        self._heaps_by_key: dict[object, list[tuple[float, int, Place]]] = (
            collections.defaultdict(list)
        )
        self._numbers = itertools.count()

    def enter(
        self, key: object, due: float, on_first: Callable[[], None]
    ) -> Place:
        """Add a request.

        :param key: what it waits for.
        :param due: the time by which it should be served; the earliest goes
            first.
        """
        place = Place(on_first)
        heap = self._heaps_by_key[key]
        previous = heap[0][2] if heap else None
        heapq.heappush(heap, (due, next(self._numbers), place))
        if heap[0][2] is place:
            place.is_first = True
            if previous is not None:
                previous.is_first = False
        return place

    def leave(self, key: object, place: Place) -> None:
        """Remove a request; the next one becomes the first."""
        place.has_left = True
        heap = self._heaps_by_key[key]
        while heap and heap[0][2].has_left:
            heapq.heappop(heap)
        if not heap:
            del self._heaps_by_key[key]
        elif not heap[0][2].is_first:
            heap[0][2].is_first = True
            heap[0][2].on_first()

    @property
    def total(self) -> int:
        """The number of requests that wait for anything."""
        return sum(map(self.count, self._heaps_by_key))

    def count(self, key: object) -> int:
        """Return the number of requests that wait."""
        return sum(
            not place.has_left
            for _, _, place in self._heaps_by_key.get(key, ())
        )
