"""Agreement among watchers on which set comes into force.

Watchers are the entries that read the configuration service. Two watchers may
read different publications that race with each other. Each watcher records its
candidate before it asks the others, so of any two watchers that can reach each
other at least one learns of the other's candidate. Both then choose by the
same rule: a set in force wins over a candidate, and among rival candidates the
lowest revision wins, then the lowest digest.
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
    """What a watcher does next with its candidate.

    ``PROCEED`` puts it in force. ``WAIT`` leaves precedence to a rival.
    ``ASK_AGAIN`` follows if the answers have expired or this process has
    paused since it asked.
    """

    PROCEED = 'go'
    WAIT = 'wait'
    ASK_AGAIN = 'again'


@dataclasses.dataclass(frozen=True)
class PeerAnswer:
    """A peer's answer to a proposal.

    :param peer: the peer.
    :param set_in_force: the set in force at the peer.
    :param candidate: the set that the peer wants to put in force; revision 0
        for none.
    :param refused: the peer's current refusal, if there is one.
    """

    peer: members.Member
    set_in_force: lineage.Lineage
    candidate: lineage.Lineage
    refused: in_force.Refusal | None = None


class ProposalExchange:
    """Proposes a candidate to other watchers and answers their proposals.

    :param link: the link to other entries.
    :param heartbeat_protocol: the membership and the pause detector.
    :param current: the configuration in force in this process.
    :param time: the clock.
    """

    def __init__(
        self,
        link: links.Link,
        heartbeat_protocol: heartbeats.HeartbeatProtocol,
        current: in_force.InForce,
        time: clock.Clock,
    ) -> None:
        self.candidate = lineage.Lineage()
        self._link = link
        self._heartbeat_protocol = heartbeat_protocol
        self._in_force = current
        self._clock = time
        self._proposals_by_sender: dict[
            str, tuple[lineage.Lineage, members.Member | None, float]
        ] = {}
        link.handlers.register('proposal')(self._on_proposal)

    def query_peers(self, count: int | None = None) -> list[PeerAnswer]:
        """Propose the candidate to peers and return their answers.

        Peers that do not answer within :data:`ASK_TIMEOUT_SECONDS` are
        missing from the result.

        :param count: how many peers to ask, chosen at random; None asks all
            of :meth:`peers_to_query`.
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
        """Decide whether the candidate may come into force now.

        :param answers: what :meth:`query_peers` returned.
        :param asked_at: the monotonic second at which it was called.
        :param pauses: how many pauses of this process had been detected
            before it was called.
        """
        own = self.candidate
        rivals = [a.candidate for a in answers] + self._recent_candidates()
        for other in rivals:
            if not other.revision or other.key == own.key:
                continue
            rival = own.relation(other) is lineage.Relation.RIVAL
            if other.key < own.key and rival:
                return Decision.WAIT
        self._heartbeat_protocol.check_trusted()
        expired = self._clock.monotonic() - asked_at > ANSWERS_VALID_SECONDS
        if expired or self._heartbeat_protocol.pause_detector.count != pauses:
            return Decision.ASK_AGAIN
        return Decision.PROCEED

    def peers_to_query(self) -> list[members.Member]:
        """Return the peers to ask.

        In a fleet of up to :data:`SMALL_FLEET_PEERS` these are all peers,
        else the watchers of every data centre and the senders of recent
        proposals.
        """
        membership = self._heartbeat_protocol.membership
        peers_by_id = {m.instance: m for m in membership.candidates()}
        if len(peers_by_id) <= SMALL_FLEET_PEERS:
            return list(peers_by_id.values())
        places = {m.place for m in peers_by_id.values()}
        places.add(membership.own.place)
        names = {
            name
            for place in places
            for name in membership.owners(
                WATCHERS_KEY, place, WATCHERS_PER_PLACE
            )
        } | set(self._proposals_by_sender)
        return [peers_by_id[name] for name in names if name in peers_by_id]

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
                peer_in_force = proposals.read(found.inForce)
                candidate = proposals.read(found.candidate)
                return PeerAnswer(
                    peer,
                    peer_in_force,
                    candidate,
                    refusals.read(found.refused),
                )
        except core_errors.KingcupfrontError as error:
            LOG.info(
                'watcher_unreachable',
                extra={'peer': peer.instance, 'reason': str(error)},
            )
            return None

    def _on_proposal(self, message: codec.Message) -> bytes:
        proposed = proposals.decode(message.body)
        peer = self._heartbeat_protocol.membership.members_by_id.get(
            message.sender
        )
        if proposed.revision:
            now = self._clock.monotonic()
            self._proposals_by_sender[message.sender] = (proposed, peer, now)
        return codec.schema.ProposalAnswer.new_message(
            inForce=proposals.fields(self._in_force.lineage, True),
            candidate=proposals.fields(self.candidate, False),
            refused=refusals.fields(self._in_force.refusal),
        ).to_bytes()

    def _recent_candidates(self) -> list[lineage.Lineage]:
        limit = self._clock.monotonic() - PROPOSAL_RETENTION_SECONDS
        for name, (_, _, at) in list(self._proposals_by_sender.items()):
            if at < limit:
                del self._proposals_by_sender[name]
        return [
            proposed for proposed, _, _ in self._proposals_by_sender.values()
        ]
