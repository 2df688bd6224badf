"""How urgent a generation is, compared with others of its service.

Load pattern: long drafts and short checks share engines, and a burst of one
kind fills them. What is delayed should cost its caller least.
"""

import collections
import dataclasses

# Requests of a rank that was not seen for this long need no reserved room.
MEMORY_SECONDS = 60.0
# Weight of the newest request in the mean size of a rank's requests.
SIZE_WEIGHT = 0.2
# What is left of the count of earlier requests with each new one.
COUNT_DECAY = 0.97
# A request is urgent if at least this part of the demand is less urgent.
URGENT_OVER_PART = 0.25
# By how many objectives a request is put off if all demand is more urgent.
MAX_DELAY_OBJECTIVES = 2.0
# Less than half of the fastest decode step of an engine, since callers'
# estimates of the length are often far off.
MIN_SECONDS_PER_TOKEN = 0.003


def can_finish(output_tokens: int | None, seconds_left: float) -> bool:
    """Return whether a generation may be complete by its deadline.

    :param output_tokens: the caller's estimate of its length, or None.
    """
    return (output_tokens or 0) * MIN_SECONDS_PER_TOKEN <= seconds_left


@dataclasses.dataclass(frozen=True, order=True)
class Rank:
    """The urgency that the configuration gives; the least is most urgent.

    :param team: the priority of the team.
    :param route: the priority of the route.
    """

    team: int
    route: int

    def __str__(self) -> str:
        return f'{self.team}/{self.route}'


@dataclasses.dataclass(frozen=True)
class Urgency:
    """The urgency of one generation; times are monotonic, in seconds.

    :param rank: its rank.
    :param in_time_until: when its first event is late.
    :param deadline: when its caller leaves.
    :param objective: the time within which its first event is in time.
    :param arrived_at: when it was read.
    """

    rank: Rank
    in_time_until: float
    deadline: float
    objective: float
    arrived_at: float

    def is_late(self, now: float) -> bool:
        """Return whether its first event can no longer be in time."""
        return now >= self.in_time_until

    def elapsed_part(self, now: float) -> float:
        """Return the part of its time that has passed, from 0 to 1."""
        total = self.deadline - self.arrived_at
        if total <= 0:
            return 1.0
        return min(1.0, max(0.0, (now - self.arrived_at) / total))

    def virtual_deadline(self, urgent_part: float, now: float) -> float:
        """Return the time by which it should be served next.

        More urgent demand delays it by a part of its objective, so a less
        urgent request that has waited for long goes before more urgent ones
        that have just arrived.

        :param urgent_part: the part of the demand that is more urgent.
        """
        due = self.deadline if self.is_late(now) else self.in_time_until
        return due + MAX_DELAY_OBJECTIVES * urgent_part * self.objective


@dataclasses.dataclass
class RankDemand:
    """The recent generations of one rank of a service.

    :param mean_tokens: the KV cache that they need on average.
    :param last_at: the monotonic time of the last one.
    :param count: their number, of which earlier ones count less.
    """

    mean_tokens: float
    last_at: float
    count: float = 0.0


class Demand:
    """The generations that an instance was asked for, by service and rank."""

    def __init__(self) -> None:
        self._by_rank_by_service: dict[str, dict[Rank, RankDemand]] = (
            collections.defaultdict(dict)
        )

    def record(
        self, service: str, rank: Rank, tokens: int, now: float
    ) -> None:
        """Count a generation.

        :param tokens: the KV cache that it needs.
        """
        by_rank = self._by_rank_by_service[service]
        for demand in by_rank.values():
            demand.count *= COUNT_DECAY
        seen = by_rank.setdefault(rank, RankDemand(float(tokens), now))
        seen.count += 1
        seen.mean_tokens += SIZE_WEIGHT * (tokens - seen.mean_tokens)
        seen.last_at = now

    def urgent_part(self, service: str, rank: Rank, now: float) -> float:
        """Return the part of the recent demand that is more urgent."""
        recent = self._recent(service, now)
        total = sum(demand.count for demand in recent.values())
        urgent = sum(d.count for r, d in recent.items() if r < rank)
        return urgent / total if total else 0.0

    def is_urgent(self, service: str, rank: Rank, now: float) -> bool:
        """Return whether a good part of the demand is less urgent."""
        recent = self._recent(service, now)
        total = sum(demand.count for demand in recent.values())
        less = sum(d.count for r, d in recent.items() if r > rank)
        return total > 0 and less >= URGENT_OVER_PART * total

    def urgent_tokens(self, service: str, rank: Rank, now: float) -> float:
        """Return what a request needs on average if it is more urgent.

        Those that are not count as zero, so this falls with the part of the
        demand that is more urgent.
        """
        recent = self._recent(service, now)
        total = sum(demand.count for demand in recent.values())
        tokens = sum(
            d.count * d.mean_tokens for r, d in recent.items() if r < rank
        )
        return tokens / total if total else 0.0

    def summary(self, now: float) -> dict[str, dict[str, dict[str, float]]]:
        """Return the recent demand by service and rank, for dumps."""
        result = {}
        for service in self._by_rank_by_service:
            recent = self._recent(service, now)
            total = sum(demand.count for demand in recent.values())
            result[service] = {
                str(rank): {
                    'part': round(demand.count / total, 3),
                    'mean_tokens': round(demand.mean_tokens),
                }
                for rank, demand in sorted(recent.items())
            }
        return result

    def _recent(self, service: str, now: float) -> dict[Rank, RankDemand]:
        return {
            rank: demand
            for rank, demand in self._by_rank_by_service[service].items()
            if now - demand.last_at <= MEMORY_SECONDS
        }
