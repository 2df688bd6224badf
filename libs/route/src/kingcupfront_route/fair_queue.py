"""A bounded queue: fair among teams, in deadline order within a team."""

from collections.abc import Iterator
import heapq
import itertools

from kingcupfront_route import placement
from kingcupfront_route import routing_request

MAX_QUEUED = 512


class FairQueue:
    """Orders waiting jobs by start-time fair queueing over teams.

    Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996. The cost
    of a job is its expected tokens. Within a team, jobs go by priority and
    then by deadline.

    :param limit: the most jobs that may wait.
    """

    def __init__(self, limit: int = MAX_QUEUED) -> None:
        self.limit = limit
        self._numbers = itertools.count()
        self._heaps_by_team: dict[str, list[tuple]] = {}
        self._starts_by_team: dict[str, float] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def queued_by_team(self) -> dict[str, int]:
        """Return the number of waiting jobs of each team."""
        return {name: len(heap) for name, heap in self._heaps_by_team.items()}

    def ahead(self, request: routing_request.RoutingRequest) -> int:
        """Return how many jobs of the same team go before a new one."""
        key = (request.priority, request.deadline)
        heap = self._heaps_by_team.get(request.team, ())
        return sum(1 for entry in heap if entry[:2] <= key)

    def push(self, item: placement.Placement) -> placement.Placement | None:
        """Add a job; return the job that must leave for it, if any.

        A full queue drops the last job of the team that has the most, which
        may be the new job itself.
        """
        request = item.request
        heap = self._heaps_by_team.setdefault(request.team, [])
        key = (request.priority, request.deadline, next(self._numbers))
        heapq.heappush(heap, (*key, item))
        self._size += 1
        if self._size <= self.limit:
            return None
        longest = max(self._heaps_by_team.values(), key=len)
        last = max(longest)[-1]
        self.remove(last)
        return last

    def remove(self, item: placement.Placement) -> bool:
        """Take a job out; return whether it was there."""
        heap = self._heaps_by_team.get(item.request.team, [])
        for index, entry in enumerate(heap):
            if entry[-1] is item:
                heap[index] = heap[-1]
                heap.pop()
                heapq.heapify(heap)
                self._shrink(item.request.team)
                return True
        return False

    def _shrink(self, team: str) -> None:
        self._size -= 1
        if not self._heaps_by_team[team]:
            del self._heaps_by_team[team]
        if not self._size:
            self._starts_by_team.clear()
            self._virtual_time = 0.0

    def heads(self, count: int) -> Iterator[placement.Placement]:
        """Yield the first jobs of the next teams in turn."""

        def start(team: str) -> tuple[float, float]:
            began = self._starts_by_team.get(team, 0.0)
            return max(began, self._virtual_time), heap_deadline(team)

        def heap_deadline(team: str) -> float:
            return self._heaps_by_team[team][0][1]

        for team in heapq.nsmallest(count, self._heaps_by_team, key=start):
            yield self._heaps_by_team[team][0][-1]

    def pop(
        self, item: placement.Placement, cost: float, weight: float
    ) -> None:
        """Take out a job that :meth:`heads` gave and advance the turn.

        :param item: the job.
        :param cost: its work, in tokens.
        :param weight: its team's share.
        """
        team = item.request.team
        start = max(self._starts_by_team.get(team, 0.0), self._virtual_time)
        self._virtual_time = start
        self._starts_by_team[team] = start + cost / weight
        self.remove(item)

    def expired(self, now: float) -> list[placement.Placement]:
        """Take out and return the jobs whose deadline has passed."""
        late = [
            entry[-1]
            for heap in self._heaps_by_team.values()
            for entry in heap
            if entry[-1].queue_deadline <= now
        ]
        for item in late:
            self.remove(item)
        return late
