"""Team limits held across entries without shared state."""

import dataclasses
import math

from kingcupfront_route import team

STALE_SECONDS = 3.0


@dataclasses.dataclass(frozen=True)
class Usage:
    """What one entry has set aside for each team.

    :param number: grows with each message of one process.
    :param reserved_by_team: requests that the entry may have in progress.
    """

    number: int
    reserved_by_team: dict[str, float]


@dataclasses.dataclass
class _Peer:
    usage: Usage
    heard_at: float
    is_new: bool = True


class TeamLimits:
    """Divides each team's limit over the entries by their own messages.

    An entry may hold what it uses plus its part of the room that all fresh
    messages leave. It changes its reserve only after every fresh peer has
    been heard anew, and lowers it by half of the difference, as all lower
    theirs together. A peer that is silent, or that was never heard, counts
    as holding the larger of its last reserve and an equal share of the
    limit. So a lasting partition can't exceed the limit while the count of
    entries stays; while messages cross, at most the room of one round is
    given twice. An entry may always hold one request of a team, so a limit
    below the number of entries is exceeded by at most the difference.

    :param entries: the number of entries, itself included.
    """

    def __init__(self, entries: int = 1) -> None:
        self._entries = entries
        self._number = 0
        self._teams_by_name: dict[str, team.Team] = {}
        self._used_by_team: dict[str, int] = {}
        self._reserve_by_team: dict[str, float] = {}
        self._peers_by_id: dict[str, _Peer] = {}

    def set_teams(self, teams: list[team.Team]) -> None:
        """Replace the teams' limits."""
        self._teams_by_name = {item.name: item for item in teams}
        self._reserve_by_team.clear()

    def set_entries(self, count: int) -> None:
        """Set the number of entries, this one included."""
        if count != self._entries:
            self._entries = max(1, count)
            self._reserve_by_team.clear()

    def weight(self, name: str) -> float:
        """Return a team's share; teams that aren't known have 1."""
        known = self._teams_by_name.get(name)
        return known.weight if known is not None else 1.0

    def used(self, name: str) -> int:
        """Return this entry's requests in progress for a team."""
        return self._used_by_team.get(name, 0)

    def allowance(self, name: str, now: float) -> float:
        """Return how many requests this entry may have in progress.

        :param name: the team's name.
        :param now: the monotonic time in seconds.
        """
        known = self._teams_by_name.get(name)
        if known is None or known.max_concurrent is None:
            return math.inf
        reserve = self._reserve_by_team.get(name)
        if reserve is None:
            reserve = self._divide(known, now)
            self._reserve_by_team[name] = reserve
        return max(1.0, math.floor(reserve + 1e-9))

    def acquire(self, name: str, now: float) -> bool:
        """Count a request in; return False if the team is at its limit.

        :param name: the team's name.
        :param now: the monotonic time in seconds.
        """
        used = self.used(name)
        if used >= self.allowance(name, now):
            return False
        self._used_by_team[name] = used + 1
        return True

    def release(self, name: str) -> None:
        """Count a request out."""
        left = self._used_by_team[name] - 1
        if left:
            self._used_by_team[name] = left
        else:
            del self._used_by_team[name]

    def usage(self) -> Usage:
        """Return the message for the peers."""
        self._number += 1
        reserved = {
            name: max(reserve, self.used(name))
            for name, reserve in self._reserve_by_team.items()
        }
        return Usage(self._number, reserved)

    def observe(self, peer_id: str, usage: Usage, now: float) -> None:
        """Take in a peer's message; an older one than the last is ignored.

        :param peer_id: the peer's id, new with each process.
        :param usage: its message.
        :param now: the monotonic time in seconds.
        """
        known = self._peers_by_id.get(peer_id)
        if known is not None and usage.number <= known.usage.number:
            return
        self._peers_by_id[peer_id] = _Peer(usage, now)
        fresh = self._fresh(now)
        if all(peer.is_new for peer in fresh):
            self._renew(fresh, now)

    def remove_peer(self, peer_id: str) -> None:
        """Drop a peer that is known to be gone."""
        self._peers_by_id.pop(peer_id, None)

    def _fresh(self, now: float) -> list[_Peer]:
        return [
            peer
            for peer in self._peers_by_id.values()
            if now - peer.heard_at <= STALE_SECONDS
        ]

    def _renew(self, fresh: list[_Peer], now: float) -> None:
        for peer in fresh:
            peer.is_new = False
        for name in list(self._reserve_by_team):
            known = self._teams_by_name.get(name)
            if known is not None:
                kept = self._reserve_by_team[name]
                fair = self._divide(known, now)
                self._reserve_by_team[name] = max(fair, (kept + fair) / 2)

    def _divide(self, known: team.Team, now: float) -> float:
        """Return this entry's use plus its part of the room."""
        limit = known.max_concurrent or 0
        share = limit / self._entries
        taken = 0.0
        fresh = False
        for peer in self._peers_by_id.values():
            reserved = peer.usage.reserved_by_team.get(known.name, 0.0)
            if now - peer.heard_at <= STALE_SECONDS:
                fresh = True
                taken += reserved
            else:
                taken += max(reserved, share)
        unheard = max(0, self._entries - 1 - len(self._peers_by_id))
        taken += unheard * share
        used = self.used(known.name)
        parts = self._entries if fresh else 1
        return used + max(0.0, limit - taken - used) / parts
