"""Bounds on the output tokens of teams, divided over the entries."""

import dataclasses

from kingcupfront_route import team

BURST_SECONDS = 2.0


@dataclasses.dataclass
class _Bucket:
    level: float
    filled_at: float


class TokenRateLimits:
    """Holds each team to its tokens a second, paid as they come.

    The length of an answer is not known ahead, so a request is let in while
    the team has credit and its tokens may then lead into debt; until that is
    paid off the team is refused. Each entry gives out an equal part of the
    rate, so a partition gives nobody more. The overshoot is what the requests
    in progress still generate once the credit is spent.

    :param entries: the number of entries, this one included.
    """

    def __init__(self, entries: int = 1) -> None:
        self._entries = entries
        self._rates_by_team: dict[str, float] = {}
        self._buckets_by_team: dict[str, _Bucket] = {}

    def set_teams(self, teams: list[team.Team]) -> None:
        """Replace the teams' rates; credit and debt of those that stay too."""
        self._rates_by_team = {
            item.name: item.tokens_per_second
            for item in teams
            if item.tokens_per_second is not None
        }
        for name in set(self._buckets_by_team) - set(self._rates_by_team):
            del self._buckets_by_team[name]

    def set_entries(self, count: int) -> None:
        """Set the number of entries, this one included."""
        self._entries = max(1, count)

    def consume(self, name: str, count: int, now: float) -> None:
        """Take in tokens that went to a team.

        :param name: the team's name.
        :param count: how many tokens.
        :param now: the monotonic time in seconds.
        """
        bucket = self._fill(name, now)
        if bucket is not None:
            bucket.level -= count

    def wait_seconds(self, name: str, now: float) -> float:
        """Return how long a team must wait before its next request.

        :param name: the team's name.
        :param now: the monotonic time in seconds.
        :returns: seconds, 0 if it may come now.
        """
        bucket = self._fill(name, now)
        if bucket is None or bucket.level > 0:
            return 0.0
        return (1 - bucket.level) / self._rate(name)

    def _rate(self, name: str) -> float:
        return self._rates_by_team[name] / self._entries

    def _fill(self, name: str, now: float) -> _Bucket | None:
        if name not in self._rates_by_team:
            return None
        rate = self._rate(name)
        most = max(1.0, rate * BURST_SECONDS)
        bucket = self._buckets_by_team.setdefault(name, _Bucket(most, now))
        earned = max(0.0, now - bucket.filled_at) * rate
        bucket.level = min(most, bucket.level + earned)
        bucket.filled_at = max(now, bucket.filled_at)
        return bucket
