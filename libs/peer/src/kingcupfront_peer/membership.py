"""One process's view of which other entry processes are running.

The protocol is SWIM (Das, Gupta and Motivala, "SWIM: scalable
weakly-consistent infection-style process group membership protocol", 2002)
over partial views, with the local health of Lifeguard (Dadgar, Phillips and
Currey, 2018). :class:`Membership` holds state and makes decisions;
:mod:`kingcupfront_peer.heartbeats` does the input and output.
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
    """The members that one process knows and the state it holds them in.

    :param own: the record of this process.
    :param rng: the source of random numbers.
    """

    def __init__(self, own: members.Member, rng: random.Random) -> None:
        self.own = own
        self.members_by_id: dict[str, members.Member] = {}
        self.usage_by_peer: dict[str, tuple[heartbeat_message.Usage, ...]] = {}
        self.seeds_by_id: dict[str, members.Member] = {}
        self.pinned: frozenset[str] = frozenset()
        # As in Lifeguard: 0 is healthy; a higher score lengthens timeouts.
        self.health_score = 0
        self._rng = rng
        self._local_states_by_id: dict[str, _LocalState] = {}
        self._probe_queue: list[str] = []
        self._acks_needed = 0

    @property
    def trusted(self) -> bool:
        """Whether enough peers have answered since the last own pause."""
        return self._acks_needed == 0

    def live(self) -> list[members.Member]:
        """Return the members that are live or suspect, sorted by id."""
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
        """Return seeds and known members that are live or suspect."""
        merged = self.seeds_by_id | self.members_by_id
        return [m for m in merged.values() if m.usable]

    def owners(self, key: str, place: str, count: int) -> list[str]:
        """Return the ids that rendezvous hashing picks in a data centre.

        This process is among the candidates unless it is leaving.

        :param key: the key to hash.
        :param place: the data centre.
        :param count: how many ids to return at most.
        """
        names = [m.instance for m in self.candidates() if m.place == place]
        if self.own.place == place and self.own.usable:
            names.append(self.own.instance)
        return rendezvous.rank(key, names)[:count]

    def update_seeds(
        self, seeds: Iterable[members.Member], now: float
    ) -> None:
        """Replace the seeds: the entries that the instance list names.

        :param seeds: the listed entries; this process may be among them.
        :param now: the current time, in monotonic seconds.
        """
        self.seeds_by_id = {
            seed.instance: seed
            for seed in seeds
            if seed.instance != self.own.instance
        }
        for name, seed in self.seeds_by_id.items():
            known = self.members_by_id.get(name)
            moved = known is not None and known.address != seed.address
            if moved and known.state is members.State.DEAD:
                self._store(seed, now)
        self.refresh_view(now)

    def refresh_view(self, now: float) -> None:
        """Select the view again and remove members that have dropped out.

        A member outside the view is removed once its record has not changed
        for :data:`UNSELECTED_RETENTION_SECONDS`; a dead one that is still
        listed stays.

        :param now: the current time, in monotonic seconds.
        """
        chosen = views.select_view(self.own, self.candidates(), self.pinned)
        for name in chosen - set(self.members_by_id):
            self._store(self.seeds_by_id[name], now)
        for name in list(self.members_by_id):
            local = self._local_states_by_id[name]
            settled = now - local.changed_at > UNSELECTED_RETENTION_SECONDS
            listed_dead = (
                name in self.seeds_by_id
                and self.members_by_id[name].state is members.State.DEAD
            )
            if name not in chosen and settled and not listed_dead:
                self._remove(name)

    def apply_heartbeat(
        self, heartbeat: heartbeat_message.Heartbeat, now: float
    ) -> None:
        """Merge the records and the usage in a peer's heartbeat.

        A record with a lower incarnation than the known one is ignored, as
        the frame may be old. Only :meth:`apply_ack` accepts it.

        :param heartbeat: the heartbeat.
        :param now: the current time, in monotonic seconds.
        """
        self._merge(heartbeat.own, now)
        for other in heartbeat.others:
            self._merge(other, now)
        if heartbeat.own.instance in self.members_by_id and heartbeat.usage:
            known = self.usage_by_peer.get(heartbeat.own.instance, ())
            rows = {u.team: u for u in known + heartbeat.usage}
            self.usage_by_peer[heartbeat.own.instance] = tuple(rows.values())

    def apply_ack(
        self, heartbeat: heartbeat_message.Heartbeat, now: float
    ) -> None:
        """Apply the answer to a probe of this process.

        The answer proves that its sender is running, so it replaces what was
        known, even if its incarnation is lower.

        :param heartbeat: the heartbeat in the answer.
        :param now: the current time, in monotonic seconds.
        """
        self.health_score = max(0, self.health_score - 1)
        self._acks_needed = max(0, self._acks_needed - 1)
        known = self.members_by_id.get(heartbeat.own.instance)
        if known is None or known.incarnation > heartbeat.own.incarnation:
            self._store(heartbeat.own, now)
        self.apply_heartbeat(heartbeat, now)
        known = self.members_by_id[heartbeat.own.instance]
        self._local_states_by_id[known.instance].unreachable = False
        if known.state in (members.State.SUSPECT, members.State.DEAD):
            self._store(heartbeat.own, now)

    def apply_indirect_ack(self, name: str, now: float) -> None:
        """Record that a member answered another peer but not this process.

        :param name: the member's id.
        :param now: the current time, in monotonic seconds.
        """
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
        :param now: the current time, in monotonic seconds.
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
        """Declare dead the members that were suspect for too long.

        :param now: the current time, in monotonic seconds.
        :returns: the members that this call declared dead.
        """
        limit = SUSPICION_SECONDS * (1 + self.health_score)
        expired = []
        for record in list(self.members_by_id.values()):
            age = now - self._local_states_by_id[record.instance].changed_at
            if record.state is members.State.SUSPECT and age >= limit:
                dead = dataclasses.replace(record, state=members.State.DEAD)
                self._store(dead, now)
                self.usage_by_peer.pop(record.instance, None)
                expired.append(dead)
        return expired

    def apply_pause(self, now: float) -> None:
        """Distrust the view after a pause of this process.

        The view is trusted again once :data:`ACKS_TO_REGAIN_TRUST` probes
        are answered. The time to expiry of suspects starts again.

        :param now: the current time, in monotonic seconds.
        """
        self._acks_needed = min(ACKS_TO_REGAIN_TRUST, len(self.live()))
        for record in self.members_by_id.values():
            if record.state is members.State.SUSPECT:
                self._local_states_by_id[record.instance].changed_at = now

    def leave(self) -> None:
        """Mark this process as leaving."""
        self.own = dataclasses.replace(
            self.own,
            state=members.State.LEAVING,
            counter=self.own.counter + 1,
        )

    def next_probed_member(self) -> members.Member | None:
        """Return the member to probe next, round-robin in a shuffled order.

        A fraction of the probes goes to dead members, so that the two sides
        of a healed partition find each other again at a bounded rate.
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

    def sample_reachable(
        self, excluded: str, count: int
    ) -> list[members.Member]:
        """Return a random sample of the reachable members.

        :param excluded: the id of a member to leave out; empty for none.
        :param count: how many members to return at most.
        """
        others = [m for m in self.reachable() if m.instance != excluded]
        return self._rng.sample(others, min(count, len(others)))

    def select_records(self, receiver: str = '') -> tuple[members.Member, ...]:
        """Return the records to send: recent changes, least often sent first.

        :param receiver: the id of the receiver; its own record is included
            unless it is live, so that it can refute it.
        """
        max_sends = SENDS_PER_DOUBLING * math.ceil(
            math.log2(len(self.members_by_id) + 2)
        )
        fresh = [
            name
            for name, local in self._local_states_by_id.items()
            if local.sends < max_sends and self.members_by_id[name].incarnation
        ]
        fresh.sort(key=lambda name: self._local_states_by_id[name].sends)
        chosen = fresh[:MAX_FRESH_RECORDS]
        known = self.members_by_id.get(receiver)
        if known is not None and known.state is not members.State.LIVE:
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
                name: record.as_dict()
                | {'unreachable': self._local_states_by_id[name].unreachable}
                for name, record in sorted(self.members_by_id.items())
            },
        }

    def _refill_probe_queue(self) -> bool:
        self._probe_queue = list(self.members_by_id)
        self._rng.shuffle(self._probe_queue)
        return any(
            m.state is not members.State.DEAD
            for m in self.members_by_id.values()
        )

    def _merge(self, record: members.Member, now: float) -> None:
        if record.instance == self.own.instance:
            self._refute(record)
            return
        known = self.members_by_id.get(record.instance)
        if known is None:
            # A listed member is a live candidate already; one that is not
            # listed is worth storing only while it is live.
            listed = record.instance in self.seeds_by_id
            if listed != (record.state is members.State.LIVE):
                self._store(record, now)
        elif record.supersedes(known):
            self._store(record, now)

    def _refute(self, record: members.Member) -> None:
        if record.incarnation != self.own.incarnation:
            return
        if record.state is self.own.state or record.counter < self.own.counter:
            return
        self.own = dataclasses.replace(self.own, counter=record.counter + 1)

    def _store(self, record: members.Member, now: float) -> None:
        known = self._local_states_by_id.get(record.instance)
        unreachable = known.unreachable if known else False
        self.members_by_id[record.instance] = record
        self._local_states_by_id[record.instance] = _LocalState(
            now, 0, unreachable
        )

    def _remove(self, name: str) -> None:
        del self.members_by_id[name]
        del self._local_states_by_id[name]
        self.usage_by_peer.pop(name, None)
