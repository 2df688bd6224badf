"""Which other entry processes run, as one process believes.

The protocol is SWIM (Das, Gupta and Motivala, "SWIM: scalable
weakly-consistent infection-style process group membership protocol", 2002)
over partial views, with the local health of Lifeguard (Dadgar, Phillips and
Currey, 2018). The class decides only; :mod:`kingcupfront_peer.heartbeats`
does the input and output.
"""

from collections.abc import Iterable
import dataclasses
import math
import random
import typing

from kingcupfront_core import rendezvous
from kingcupfront_peer import heartbeat_message
from kingcupfront_peer import member as members
from kingcupfront_peer import views

SUSPICION_SECONDS = 5.0
UNSELECTED_RETENTION_SECONDS = 60.0
MAX_HEALTH_SCORE = 4
DEAD_PROBE_FRACTION = 0.1
ACKS_TO_REGAIN_TRUST = 3
MAX_FRESH_RECORDS = 6
MAX_RANDOM_RECORDS = 2
SENDS_PER_DOUBLING = 3


@dataclasses.dataclass
class _LocalState:
    """What only this process knows about a member."""

    changed_at: float
    sends: int = 0
    unreachable: bool = False


class Membership:
    """The members that one process knows of and what it believes of them.

    :param own: the own process.
    :param rng: the source of random numbers.
    """

    def __init__(self, own: members.Member, rng: random.Random) -> None:
        self.own = own
        self.members_by_id: dict[str, members.Member] = {}
        self.usage_by_peer: dict[str, tuple[heartbeat_message.Usage, ...]] = {}
        self.seeds_by_id: dict[str, members.Member] = {}
        self.pinned: frozenset[str] = frozenset()
        self.health_score = 0
        self._rng = rng
        self._local_states_by_id: dict[str, _LocalState] = {}
        self._probe_queue: list[str] = []
        self._acks_needed = 0

    @property
    def trusted(self) -> bool:
        """Whether the view was renewed since the last own pause."""
        return self._acks_needed == 0

    def live(self) -> list[members.Member]:
        """Return the members that are believed to run, by id."""
        found = [m for m in self.members_by_id.values() if m.usable]
        return sorted(found, key=lambda m: m.instance)

    def reachable(self) -> list[members.Member]:
        """Return the live members that answer this process directly."""
        return [
            m
            for m in self.live()
            if not self._local_states_by_id[m.instance].unreachable
        ]

    def candidates(self) -> list[members.Member]:
        """Return listed and known members that are not known to be gone."""
        merged = self.seeds_by_id | self.members_by_id
        return [m for m in merged.values() if m.usable]

    def owners(self, key: str, place: str, count: int) -> list[str]:
        """Return the ids that rendezvous hashing picks in a place.

        The own process is a candidate as long as it is not leaving.
        """
        names = [m.instance for m in self.candidates() if m.place == place]
        if self.own.place == place and self.own.usable:
            names.append(self.own.instance)
        return rendezvous.rank(key, names)[:count]

    def update_seeds(
        self, seeds: Iterable[members.Member], now: float
    ) -> None:
        """Take in the entries that the instance list names.

        :param seeds: the rows of entries, with the own one or without.
        :param now: the monotonic second.
        """
        self.seeds_by_id = {
            item.instance: item
            for item in seeds
            if item.instance != self.own.instance
        }
        for name, item in self.seeds_by_id.items():
            known = self.members_by_id.get(name)
            moved = known is not None and known.address != item.address
            if moved and known.state is members.State.DEAD:
                self._store(item, now)
        self.refresh_view(now)

    def refresh_view(self, now: float) -> None:
        """Choose the view again and forget who is not in it.

        :param now: the monotonic second.
        """
        chosen = views.select_view(self.own, self.candidates(), self.pinned)
        for name in chosen - set(self.members_by_id):
            self._store(self.seeds_by_id[name], now)
        for name in list(self.members_by_id):
            note = self._local_states_by_id[name]
            settled = now - note.changed_at > UNSELECTED_RETENTION_SECONDS
            listed_dead = (
                name in self.seeds_by_id
                and self.members_by_id[name].state is members.State.DEAD
            )
            if name not in chosen and settled and not listed_dead:
                self._remove(name)

    def apply_heartbeat(
        self, item: heartbeat_message.Heartbeat, now: float
    ) -> None:
        """Take in a heartbeat of a peer.

        A process number lower than the known one is not believed here: it
        may be an old frame. Only :meth:`acked` takes it.
        """
        self._merge(item.own, now)
        for other in item.others:
            self._merge(other, now)
        if item.own.instance in self.members_by_id and item.usage:
            known = self.usage_by_peer.get(item.own.instance, ())
            rows = {u.team: u for u in known + item.usage}
            self.usage_by_peer[item.own.instance] = tuple(rows.values())

    def apply_ack(self, item: heartbeat_message.Heartbeat, now: float) -> None:
        """Take in the answer to an own probe: the sender runs now."""
        self.health_score = max(0, self.health_score - 1)
        self._acks_needed = max(0, self._acks_needed - 1)
        known = self.members_by_id.get(item.own.instance)
        if known is None or known.incarnation > item.own.incarnation:
            self._store(item.own, now)
        self.apply_heartbeat(item, now)
        known = self.members_by_id[item.own.instance]
        self._local_states_by_id[known.instance].unreachable = False
        if known.state in (members.State.SUSPECT, members.State.DEAD):
            self._store(item.own, now)

    def apply_indirect_ack(self, name: str, now: float) -> None:
        """Note that a member runs but does not answer directly."""
        known = self.members_by_id.get(name)
        if known is None:
            return
        self._local_states_by_id[name].unreachable = True
        if known.state is members.State.SUSPECT:
            live = dataclasses.replace(known, state=members.State.LIVE)
            self._store(live, now)

    def apply_probe_failure(self, name: str, now: float) -> None:
        """Suspect a member that answered neither directly nor through others.

        :param name: the member's id.
        :param now: the monotonic second.
        """
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        known = self.members_by_id.get(name)
        if known is None:
            return
        self._local_states_by_id[name].unreachable = True
        if known.state in (members.State.LIVE, members.State.LEAVING):
            self._store(
                dataclasses.replace(known, state=members.State.SUSPECT), now
            )

    def expire_suspects(self, now: float) -> list[members.Member]:
        """Declare dead whoever stayed suspect for too long.

        :param now: the monotonic second.
        :returns: the members that are dead from now on.
        """
        limit = SUSPICION_SECONDS * (1 + self.health_score)
        gone = []
        for item in list(self.members_by_id.values()):
            age = now - self._local_states_by_id[item.instance].changed_at
            if item.state is members.State.SUSPECT and age >= limit:
                dead = dataclasses.replace(item, state=members.State.DEAD)
                self._store(dead, now)
                self.usage_by_peer.pop(item.instance, None)
                gone.append(dead)
        return gone

    def apply_pause(self, now: float) -> None:
        """Distrust the view after an own pause until peers have answered.

        :param now: the monotonic second.
        """
        self._acks_needed = min(ACKS_TO_REGAIN_TRUST, len(self.live()))
        for item in self.members_by_id.values():
            if item.state is members.State.SUSPECT:
                self._local_states_by_id[item.instance].changed_at = now

    def leave(self) -> None:
        """State that the own process is leaving."""
        self.own = dataclasses.replace(
            self.own,
            state=members.State.LEAVING,
            counter=self.own.counter + 1,
        )

    def next_probed_member(self) -> members.Member | None:
        """Return whom to probe next: all of the view in turn, shuffled.

        Now and then it is a member believed dead, so that the two sides of
        a healed partition find each other at a bounded rate.
        """
        dead = [
            m
            for m in (self.seeds_by_id | self.members_by_id).values()
            if m.state is members.State.DEAD
        ]
        if dead and self._rng.random() < DEAD_PROBE_FRACTION:
            return self._rng.choice(dead)
        while self._probe_queue or self._refill_probe_queue():
            known = self.members_by_id.get(self._probe_queue.pop())
            if known is not None and known.state is not members.State.DEAD:
                return known
        return self._rng.choice(dead) if dead else None

    def sample_reachable(self, name: str, count: int) -> list[members.Member]:
        """Return members that may probe another one for this process."""
        others = [m for m in self.reachable() if m.instance != name]
        return self._rng.sample(others, min(count, len(others)))

    def select_records(self, receiver: str = '') -> tuple[members.Member, ...]:
        """Return statements to send: the least often sent news first.

        :param receiver: the id of whom they go to; it hears what is believed
            of it, so that it can refute that.
        """
        most = SENDS_PER_DOUBLING * math.ceil(
            math.log2(len(self.members_by_id) + 2)
        )
        fresh = [
            name
            for name, note in self._local_states_by_id.items()
            if note.sends < most and self.members_by_id[name].incarnation
        ]
        fresh.sort(key=lambda name: self._local_states_by_id[name].sends)
        chosen = fresh[:MAX_FRESH_RECORDS]
        about = self.members_by_id.get(receiver)
        if about is not None and about.state is not members.State.LIVE:
            chosen = [receiver] + [n for n in chosen if n != receiver]
        for name in chosen:
            self._local_states_by_id[name].sends += 1
        rest = [m.instance for m in self.live() if m.instance not in chosen]
        chosen += self._rng.sample(rest, min(MAX_RANDOM_RECORDS, len(rest)))
        return tuple(self.members_by_id[name] for name in chosen)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the view for a state dump."""
        return {
            'trusted': self.trusted,
            'health': self.health_score,
            'seeds': len(self.seeds_by_id),
            'members': {
                name: item.as_dict()
                | {'unreachable': self._local_states_by_id[name].unreachable}
                for name, item in sorted(self.members_by_id.items())
            },
        }

    def _refill_probe_queue(self) -> bool:
        self._probe_queue = list(self.members_by_id)
        self._rng.shuffle(self._probe_queue)
        return any(
            m.state is not members.State.DEAD
            for m in self.members_by_id.values()
        )

    def _merge(self, item: members.Member, now: float) -> None:
        if item.instance == self.own.instance:
            self._refute(item)
            return
        known = self.members_by_id.get(item.instance)
        if known is None:
            listed = item.instance in self.seeds_by_id
            if listed != (item.state is members.State.LIVE):
                self._store(item, now)
        elif item.supersedes(known):
            self._store(item, now)

    def _refute(self, item: members.Member) -> None:
        if item.incarnation != self.own.incarnation:
            return
        if item.state is self.own.state or item.counter < self.own.counter:
            return
        self.own = dataclasses.replace(self.own, counter=item.counter + 1)

    def _store(self, item: members.Member, now: float) -> None:
        known = self._local_states_by_id.get(item.instance)
        unreachable = known.unreachable if known else False
        self.members_by_id[item.instance] = item
        self._local_states_by_id[item.instance] = _LocalState(
            now, 0, unreachable
        )

    def _remove(self, name: str) -> None:
        del self.members_by_id[name]
        del self._local_states_by_id[name]
        self.usage_by_peer.pop(name, None)
