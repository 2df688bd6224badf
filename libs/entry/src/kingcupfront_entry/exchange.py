"""What watchers ask one another before a set comes into force.

Two watchers may read different publications of a race. Each records its
candidate before it asks the others, so of any two that reach one another at
least one learns of the other's, and both choose alike: a set in force goes
before a candidate, and among rival candidates the lower revision, then the
lower digest.
"""

import dataclasses
import enum
import logging
import random

import gevent

from kingcupfront_config import in_force
from kingcupfront_config import lineage
from kingcupfront_core import clock
from kingcupfront_core import errors as core_errors
from kingcupfront_entry import proposals
from kingcupfront_entry import refusals
from kingcupfront_peer import codec
from kingcupfront_peer import heartbeats
from kingcupfront_peer import link as links
from kingcupfront_peer import member as members

LOG = logging.getLogger(__name__)
ASK_TIMEOUT_SECONDS = 0.7
ANSWERS_VALID_SECONDS = 2.0
PROPOSAL_RETENTION_SECONDS = 3.0
SMALL_FLEET_PEERS = 16
WATCHERS_PER_PLACE = 2
WATCHERS_KEY = 'configuration'


class Decision(enum.StrEnum):
    """Whether a candidate may come into force now."""

    PROCEED = 'go'
    WAIT = 'wait'
    ASK_AGAIN = 'again'


@dataclasses.dataclass(frozen=True)
class PeerAnswer:
    """What one peer holds.

    :param peer: the peer.
    :param held: the set in force there.
    :param candidate: what it is about to put in force.
    :param refused: what it refused last, if that is still of interest.
    """

    peer: members.Member
    held: lineage.Lineage
    candidate: lineage.Lineage
    refused: in_force.Refusal | None = None


class ProposalExchange:
    """Asks other watchers about a candidate, and answers them.

    :param link: calls to other entries.
    :param beats: the membership.
    :param held: the configuration in force.
    :param time: the clock.
    """

    def __init__(
        self,
        link: links.Link,
        beats: heartbeats.HeartbeatProtocol,
        held: in_force.InForce,
        time: clock.Clock,
    ) -> None:
        self.candidate = lineage.Lineage()
        self._link = link
        self._beats = beats
        self._held = held
        self._clock = time
        self._proposals_by_sender: dict[
            str, tuple[lineage.Lineage, members.Member | None, float]
        ] = {}
        link.handlers.register('proposal')(self._on_proposal)

    def query_peers(self, count: int | None = None) -> list[PeerAnswer]:
        """Return what every reachable watcher holds, told of the candidate.

        It takes at most :data:`ASK_TIMEOUT_SECONDS`.

        :param count: how many to ask, picked at random; none asks them all.
        """
        peers = self.peers_to_query()
        if count is not None:
            peers = random.sample(peers, min(count, len(peers)))
        body = codec.schema.Proposal.new_message(
            **proposals.fields(self.candidate, False)
        ).to_bytes()
        jobs = [gevent.spawn(self._query_peer, m, body) for m in peers]
        gevent.joinall(jobs)
        return [job.value for job in jobs if job.value is not None]

    def decide(
        self, answers: list[PeerAnswer], asked_at: float, pauses: int
    ) -> Decision:
        """Return whether the candidate may come into force now.

        :param answers: what :meth:`ask` returned.
        :param asked_at: the monotonic second at which it was called.
        :param pauses: the count of own pauses before it was called.
        """
        mine = self.candidate
        rivals = [a.candidate for a in answers] + self._recent_candidates()
        for other in rivals:
            if not other.revision or other.key == mine.key:
                continue
            rival = mine.relation(other) is lineage.Relation.RIVAL
            if other.key < mine.key and rival:
                return Decision.WAIT
        self._beats.check_trusted()
        late = self._clock.monotonic() - asked_at > ANSWERS_VALID_SECONDS
        if late or self._beats.pause_detector.count != pauses:
            return Decision.ASK_AGAIN
        return Decision.PROCEED

    def peers_to_query(self) -> list[members.Member]:
        """Return whom to ask: all in a small fleet, else the watchers."""
        membership = self._beats.membership
        everyone = {m.instance: m for m in membership.candidates()}
        if len(everyone) <= SMALL_FLEET_PEERS:
            return list(everyone.values())
        places = {m.place for m in everyone.values()}
        places.add(membership.own.place)
        names = {
            name
            for place in places
            for name in membership.owners(
                WATCHERS_KEY, place, WATCHERS_PER_PLACE
            )
        } | set(self._proposals_by_sender)
        return [everyone[name] for name in names if name in everyone]

    def _query_peer(
        self, peer: members.Member, body: bytes
    ) -> PeerAnswer | None:
        try:
            answer = self._link.call(
                peer.address, 'proposal', body, ASK_TIMEOUT_SECONDS
            )
            with codec.open_struct(
                codec.schema.ProposalAnswer, answer.body
            ) as found:
                held = proposals.read(found.inForce)
                candidate = proposals.read(found.candidate)
                return PeerAnswer(
                    peer, held, candidate, refusals.read(found.refused)
                )
        except core_errors.KingcupfrontError as error:
            LOG.info(
                'watcher_unreachable',
                extra={'peer': peer.instance, 'reason': str(error)},
            )
            return None

    def _on_proposal(self, message: codec.Message) -> bytes:
        told = proposals.decode(message.body)
        peer = self._beats.membership.members_by_id.get(message.sender)
        if told.revision:
            now = self._clock.monotonic()
            self._proposals_by_sender[message.sender] = (told, peer, now)
        return codec.schema.ProposalAnswer.new_message(
            inForce=proposals.fields(self._held.lineage, True),
            candidate=proposals.fields(self.candidate, False),
            refused=refusals.fields(self._held.refusal),
        ).to_bytes()

    def _recent_candidates(self) -> list[lineage.Lineage]:
        limit = self._clock.monotonic() - PROPOSAL_RETENTION_SECONDS
        for name, (_, _, at) in list(self._proposals_by_sender.items()):
            if at < limit:
                del self._proposals_by_sender[name]
        return [told for told, _, _ in self._proposals_by_sender.values()]
