"""Token rate limits of teams, divided among the entries."""

import dataclasses

from kingcupfront_route import team as teams

BURST_SECONDS = 2.0


@dataclasses.dataclass
class _Bucket:
    tokens: float
    refilled_at: float


class TokenRateLimits:
    """Limits each team's output tokens per second with token buckets.

    The length of an answer isn't known in advance, so a request is admitted
    while its team's bucket isn't empty, and its output tokens may then take
    the bucket below zero. The team is refused until the bucket has been
    refilled. Each entry grants an equal share of the rate, so a partition
    doesn't raise it. A team overshoots by what its requests in progress still
    generate once the bucket is empty.

    :param entries: the number of entries, this one included.
    """

    def __init__(self, entries: int = 1) -> None:
        self._entries = entries
        self._rates_by_team: dict[str, float] = {}
        self._buckets_by_team: dict[str, _Bucket] = {}

    def set_teams(self, new_teams: list[teams.Team]) -> None:
        """Replace the teams' rates; teams that stay keep their buckets."""
        self._rates_by_team = {
            team.name: team.tokens_per_second
            for team in new_teams
            if team.tokens_per_second is not None
        }
        for name in set(self._buckets_by_team) - set(self._rates_by_team):
            del self._buckets_by_team[name]

    def set_entries(self, count: int) -> None:
        """Set the number of entries, this one included."""
        self._entries = max(1, count)

    def consume(self, name: str, count: int, now: float) -> None:
        """Take output tokens from a team's bucket.

        :param name: the team's name.
        :param count: the number of tokens.
        :param now: the monotonic time in seconds.
        """
        bucket = self._refill(name, now)
        if bucket is not None:
            bucket.tokens -= count

    def wait_seconds(self, name: str, now: float) -> float:
        """Return how long a team has to wait before its next request.

        :param name: the team's name.
        :param now: the monotonic time in seconds.
        :returns: seconds, 0 if a request is admitted now.
        """
        bucket = self._refill(name, now)
        if bucket is None or bucket.tokens > 0:
            return 0.0
        return (1 - bucket.tokens) / self._rate(name)

    def _rate(self, name: str) -> float:
        return self._rates_by_team[name] / self._entries

    def _refill(self, name: str, now: float) -> _Bucket | None:
        if name not in self._rates_by_team:
            return None
        rate = self._rate(name)
        capacity = max(1.0, rate * BURST_SECONDS)
        bucket = self._buckets_by_team.setdefault(name, _Bucket(capacity, now))
        refill = max(0.0, now - bucket.refilled_at) * rate
        bucket.tokens = min(capacity, bucket.tokens + refill)
        bucket.refilled_at = max(now, bucket.refilled_at)
        return bucket
