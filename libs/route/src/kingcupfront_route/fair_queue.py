"""A bounded queue: fair among teams, in deadline order within a team."""

from collections.abc import Iterator
import heapq
import itertools

from kingcupfront_route import placement as placements
from kingcupfront_route import routing_request

DEFAULT_QUEUE_LIMIT = 512


class FairQueue:
    """Orders waiting requests by start-time fair queueing over teams.

    Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996. The cost
    of a request is its expected tokens. Within a team, requests go by
    priority, then by deadline, then in order of arrival.

    :param limit: the most requests that may wait.
    """

    def __init__(self, limit: int = DEFAULT_QUEUE_LIMIT) -> None:
        self.limit = limit
        self._sequence = itertools.count()
        self._heaps_by_team: dict[str, list[tuple]] = {}
        self._finish_tags_by_team: dict[str, float] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def queued_by_team(self) -> dict[str, int]:
        """Return the number of waiting requests of each team."""
        return {name: len(heap) for name, heap in self._heaps_by_team.items()}

    def count_ahead(self, request: routing_request.RoutingRequest) -> int:
        """Return how many requests of the same team go before a new one."""
        key = (request.priority, request.deadline)
        heap = self._heaps_by_team.get(request.team, ())
        return sum(1 for element in heap if element[:2] <= key)

    def push(
        self, placement: placements.Placement
    ) -> placements.Placement | None:
        """Add a request; return the placement that was dropped, if any.

        A full queue drops the last request of the team that has the most
        waiting, which may be the new one.
        """
        request = placement.request
        heap = self._heaps_by_team.setdefault(request.team, [])
        key = (request.priority, request.deadline, next(self._sequence))
        heapq.heappush(heap, (*key, placement))
        self._size += 1
        if self._size <= self.limit:
            return None
        longest = max(self._heaps_by_team.values(), key=len)
        dropped = max(longest)[-1]
        self.remove(dropped)
        return dropped

    def remove(self, placement: placements.Placement) -> bool:
        """Remove a request; return whether it was in the queue."""
        heap = self._heaps_by_team.get(placement.request.team, [])
        for index, element in enumerate(heap):
            if element[-1] is placement:
                heap[index] = heap[-1]
                heap.pop()
                heapq.heapify(heap)
                self._count_removal(placement.request.team)
                return True
        return False

    def _count_removal(self, team: str) -> None:
        self._size -= 1
        if not self._heaps_by_team[team]:
            del self._heaps_by_team[team]
        if not self._size:
            self._finish_tags_by_team.clear()
            self._virtual_time = 0.0

    def head_placements(self, count: int) -> Iterator[placements.Placement]:
        """Yield the first request of each of the next teams in turn.

        :param count: the most teams to go through.
        """

        def sort_key(team: str) -> tuple[float, float]:
            finish_tag = self._finish_tags_by_team.get(team, 0.0)
            return max(finish_tag, self._virtual_time), head_deadline(team)

        def head_deadline(team: str) -> float:
            return self._heaps_by_team[team][0][1]

        for team in heapq.nsmallest(count, self._heaps_by_team, key=sort_key):
            yield self._heaps_by_team[team][0][-1]

    def pop(
        self,
        placement: placements.Placement,
        cost_tokens: float,
        weight: float,
    ) -> None:
        """Remove a request that is to run and charge its cost to its team.

        :param placement: one that :meth:`head_placements` yielded.
        :param cost_tokens: the request's cost in tokens.
        :param weight: the team's weight.
        """
        team = placement.request.team
        start_tag = max(
            self._finish_tags_by_team.get(team, 0.0), self._virtual_time
        )
        self._virtual_time = start_tag
        self._finish_tags_by_team[team] = start_tag + cost_tokens / weight
        self.remove(placement)

    def pop_expired(self, now: float) -> list[placements.Placement]:
        """Remove and return the requests that may not wait any longer."""
        expired = [
            element[-1]
            for heap in self._heaps_by_team.values()
            for element in heap
            if element[-1].queue_deadline <= now
        ]
        for placement in expired:
            self.remove(placement)
        return expired
