"""Concurrency limits of teams, kept across entries without shared state."""

import dataclasses
import math

from kingcupfront_route import team as teams

MAX_USAGE_AGE_SECONDS = 3.0


@dataclasses.dataclass(frozen=True)
class Usage:
    """The message in which an entry tells its peers what it reserves.

    :param number: grows with each message of one process.
    :param reserved_by_team: the most requests of each team that the entry
        may have in progress.
    """

    number: int
    reserved_by_team: dict[str, float]


@dataclasses.dataclass
class _Peer:
    usage: Usage
    received_at: float
    is_unprocessed: bool = True


class TeamLimits:
    """Divides each team's limit among the entries, by usage messages.

    An entry reserves what it uses plus its share of what the reserves in
    all fresh messages leave of the limit. It updates its reserves only when
    every fresh peer has sent a new message since the last update. It lowers
    a reserve by only half of the difference, because all entries lower
    theirs at the same time.

    A peer whose last message is stale counts with the larger of its last
    reserve and an equal share of the limit, and a peer that was never heard
    from counts with an equal share. A lasting partition can therefore not
    exceed the limit while the number of entries stays the same. While
    messages cross, at most what is free in one round is reserved twice. An
    entry may always have one request of a team in progress, so a limit below
    the number of entries is exceeded by at most the difference.

    :param entries: the number of entries, this one included.
    """

    def __init__(self, entries: int = 1) -> None:
        self._entries = entries
        self._number = 0
        self._teams_by_name: dict[str, teams.Team] = {}
        self._used_by_team: dict[str, int] = {}
        self._reserve_by_team: dict[str, float] = {}
        self._peers_by_id: dict[str, _Peer] = {}

    def set_teams(self, new_teams: list[teams.Team]) -> None:
        """Replace the teams and their limits."""
        self._teams_by_name = {team.name: team for team in new_teams}
        self._reserve_by_team.clear()

    def set_entries(self, count: int) -> None:
        """Set the number of entries, this one included."""
        if count != self._entries:
            self._entries = max(1, count)
            self._reserve_by_team.clear()

    def weight(self, name: str) -> float:
        """Return a team's weight, which is 1 for an unknown team."""
        team = self._teams_by_name.get(name)
        return team.weight if team is not None else 1.0

    def used(self, name: str) -> int:
        """Return the number of a team's requests in progress at this entry."""
        return self._used_by_team.get(name, 0)

    def allowance(self, name: str, now: float) -> float:
        """Return how many requests of a team this entry may have in progress.

        :param name: the team's name.
        :param now: the monotonic time in seconds.
        """
        team = self._teams_by_name.get(name)
        if team is None or team.max_concurrent is None:
            return math.inf
        reserve = self._reserve_by_team.get(name)
        if reserve is None:
            reserve = self._compute_reserve(team, now)
            self._reserve_by_team[name] = reserve
        return max(1.0, math.floor(reserve + 1e-9))

    def acquire(self, name: str, now: float) -> bool:
        """Count a request that starts, unless the team is at its limit.

        :param name: the team's name.
        :param now: the monotonic time in seconds.
        :returns: whether the request may start.
        """
        used = self.used(name)
        if used >= self.allowance(name, now):
            return False
        self._used_by_team[name] = used + 1
        return True

    def release(self, name: str) -> None:
        """Count a request that has ended."""
        used = self._used_by_team[name] - 1
        if used:
            self._used_by_team[name] = used
        else:
            del self._used_by_team[name]

    def usage(self) -> Usage:
        """Return the next usage message for the peers."""
        self._number += 1
        reserved = {
            name: max(reserve, self.used(name))
            for name, reserve in self._reserve_by_team.items()
        }
        return Usage(self._number, reserved)

    def observe(self, peer_id: str, usage: Usage, now: float) -> None:
        """Apply a peer's usage message; one that isn't newer is ignored.

        :param peer_id: the id of the peer's process, new with each start.
        :param usage: the message.
        :param now: the monotonic time in seconds.
        """
        peer = self._peers_by_id.get(peer_id)
        if peer is not None and usage.number <= peer.usage.number:
            return
        self._peers_by_id[peer_id] = _Peer(usage, now)
        fresh_peers = self._fresh_peers(now)
        if all(peer.is_unprocessed for peer in fresh_peers):
            self._update_reserves(fresh_peers, now)

    def remove_peer(self, peer_id: str) -> None:
        """Drop a peer that is known to have stopped."""
        self._peers_by_id.pop(peer_id, None)

    def _fresh_peers(self, now: float) -> list[_Peer]:
        return [
            peer
            for peer in self._peers_by_id.values()
            if now - peer.received_at <= MAX_USAGE_AGE_SECONDS
        ]

    def _update_reserves(self, fresh_peers: list[_Peer], now: float) -> None:
        for peer in fresh_peers:
            peer.is_unprocessed = False
        for name in list(self._reserve_by_team):
            team = self._teams_by_name.get(name)
            if team is not None:
                current = self._reserve_by_team[name]
                computed = self._compute_reserve(team, now)
                self._reserve_by_team[name] = max(
                    computed, (current + computed) / 2
                )

    def _compute_reserve(self, team: teams.Team, now: float) -> float:
        """Return this entry's use plus its share of the unreserved rest."""
        limit = team.max_concurrent or 0
        equal_share = limit / self._entries
        taken = 0.0
        has_fresh_peer = False
        for peer in self._peers_by_id.values():
            reserved = peer.usage.reserved_by_team.get(team.name, 0.0)
            if now - peer.received_at <= MAX_USAGE_AGE_SECONDS:
                has_fresh_peer = True
                taken += reserved
            else:
                taken += max(reserved, equal_share)
        unheard_count = max(0, self._entries - 1 - len(self._peers_by_id))
        taken += unheard_count * equal_share
        used = self.used(team.name)
        divisor = self._entries if has_fresh_peer else 1
        return used + max(0.0, limit - taken - used) / divisor
