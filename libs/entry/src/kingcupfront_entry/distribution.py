"""Distribution of the configuration in force among entries.

Watchers read sets of configuration objects from the service, agree on the one
to put in force and announce it with their heartbeats; the other entries pull
it from peers.
"""

import dataclasses
import logging
import random
import typing

import gevent
from gevent import event

from kingcupfront_config import in_force
from kingcupfront_config import lineage
from kingcupfront_core import clock
from kingcupfront_core import errors as core_errors
from kingcupfront_entry import exchange
from kingcupfront_entry import refusals
from kingcupfront_entry import transfers
from kingcupfront_peer import heartbeat_message
from kingcupfront_peer import heartbeats
from kingcupfront_peer import link as links
from kingcupfront_peer import member as members

LOG = logging.getLogger(__name__)
CATCH_UP_TIMEOUT_SECONDS = 3.0
ROUND_INTERVAL_SECONDS = 0.5
PULL_RETRY_DELAY_SECONDS = 0.2
MAX_PULL_ATTEMPTS = 20
SAMPLED_PEERS = 2


class ConfigurationDistribution:
    """Puts sets in force that the service or peers offer.

    :param link: the link to other entries.
    :param heartbeat_protocol: the heartbeats that announce the set in force,
        and the membership.
    :param current: the configuration in force.
    :param time: the clock.
    """

    def __init__(
        self,
        link: links.Link,
        heartbeat_protocol: heartbeats.HeartbeatProtocol,
        current: in_force.InForce,
        time: clock.Clock,
    ) -> None:
        self.in_force = current
        self.exchange = exchange.ProposalExchange(
            link, heartbeat_protocol, current, time
        )
        self.transfers = transfers.SetTransfers(link, current)
        self.waiting_for = 'the instance list'
        self.forked_from = ''
        self.is_list_known: typing.Callable[[], bool] = lambda: True
        self.read_from_service = 0
        self._heartbeat_protocol = heartbeat_protocol
        self._clock = time
        self._newer_peers_by_id: dict[str, members.Member] = {}
        self._newer_set_seen = event.Event()
        self._rng = random.Random()
        self._last_broadcast_body = b''
        heartbeat_protocol.observers.append(self._on_heartbeat)
        heartbeat_protocol.notices.topics.register('refused')(
            self._on_refusal_notice
        )

    @property
    def is_watcher(self) -> bool:
        """Whether this process reads the configuration service."""
        membership = self._heartbeat_protocol.membership
        return membership.own.instance in membership.owners(
            exchange.WATCHERS_KEY,
            membership.own.place,
            exchange.WATCHERS_PER_PLACE,
        )

    def catch_up(self, read: typing.Callable[[], bytes | None]) -> None:
        """Wait until a set from peers or the service is in force.

        Peers come first. A watcher that knows the instance list also reads
        the service at once, and any other process after a time-out. Until a
        set is in force the process is not ready and :attr:`waiting_for` says
        why.

        :param read: returns the service's set, or None if there is none or
            it cannot be read.
        """
        timeout_seconds = CATCH_UP_TIMEOUT_SECONDS * self._rng.uniform(1, 2)
        deadline = self._clock.monotonic() + timeout_seconds
        while self.in_force.current is None:
            timed_out = self._clock.monotonic() >= deadline
            may_read_service = timed_out or (
                self.is_watcher and self.is_list_known()
            )
            self._adopt_newer_sets(
                self.exchange.query_peers(
                    None if may_read_service else SAMPLED_PEERS
                )
            )
            if self.in_force.current is None and may_read_service:
                self._start_from_service_set(read(), timed_out)
            if self.in_force.current is None:
                gevent.sleep(ROUND_INTERVAL_SECONDS * self._rng.uniform(1, 2))
        self._adopt_newer_sets(self.exchange.query_peers(SAMPLED_PEERS))
        self.waiting_for = ''

    def _start_from_service_set(
        self, data: bytes | None, timed_out: bool
    ) -> None:
        answers = self.exchange.query_peers()
        peer_count = len(self.exchange.peers_to_query())
        self._adopt_newer_sets(answers)
        if self.in_force.current is not None:
            return
        self.waiting_for = (
            f'a configuration: {len(answers)} of {peer_count} peers answered '
            f'and none has one; the service '
            f'{"has one" if data else "gave none"}'
        )
        if data and (answers or not peer_count or timed_out):
            self.put_in_force(data)
            refusal = self.in_force.refusal
            if self.in_force.current is None and refusal is not None:
                self.waiting_for = f'a valid set: {refusal.reason}'

    def put_in_force(self, data: bytes) -> None:
        """Put a set read from the service in force, if it is acceptable.

        Returns once the set is in force or refused.

        :param data: the set as JSON.
        """
        self.read_from_service += 1
        while True:
            published = self.in_force.examine(data)
            self.exchange.candidate = (
                published.lineage if published else (lineage.Lineage())
            )
            if published is None:
                self._broadcast_refusal()
                return
            asked_at = self._clock.monotonic()
            pauses = self._heartbeat_protocol.pause_detector.count
            answers = self.exchange.query_peers()
            self._adopt_newer_sets(answers)
            if (
                published.lineage.relation(self.in_force.lineage)
                in in_force.ACCEPTED
            ):
                decision = self.exchange.decide(answers, asked_at, pauses)
                if decision is exchange.Decision.PROCEED:
                    self._admit_and_announce(published)
                    self.exchange.candidate = lineage.Lineage()
                    return
                gevent.sleep(ROUND_INTERVAL_SECONDS)

    def follow_peers(self) -> None:
        """Pull newer sets that peers have in force, for ever."""
        while True:
            self._newer_set_seen.wait()
            self._newer_set_seen.clear()
            for _ in range(MAX_PULL_ATTEMPTS):
                if not self._newer_peers_by_id:
                    break
                if not self._pull_from_nearest():
                    gevent.sleep(PULL_RETRY_DELAY_SECONDS)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the state of the distribution for a state dump."""
        refusal = self.in_force.refusal
        return {
            'revision': self.in_force.revision,
            'digest': self.in_force.digest,
            'watching': self.is_watcher,
            'waiting_for': self.waiting_for,
            'forked_from': self.forked_from,
            'candidate': self.exchange.candidate.revision,
            'read_from_service': self.read_from_service,
            'refusal': refusal and dataclasses.asdict(refusal),
            'bytes_given': self.transfers.bytes_sent,
            'bytes_taken': self.transfers.bytes_received,
        }

    def _broadcast_refusal(self) -> None:
        refusal = self.in_force.refusal
        if refusal is None or not refusal.digest:
            return
        body = refusals.encode(refusal)
        if (
            refusal.revision >= self.in_force.revision
            and body != self._last_broadcast_body
        ):
            self._last_broadcast_body = body
            LOG.warning(
                'configuration_refused', extra=_refusal_log_fields(refusal)
            )
            self._heartbeat_protocol.notices.broadcast('refused', body)

    def _on_refusal_notice(self, body: bytes) -> bool:
        return self._record_refusal(refusals.decode(body))

    def _record_refusal(self, refusal: in_force.Refusal | None) -> bool:
        known = self.in_force.refusal
        if refusal is None or refusal.digest == self.in_force.digest:
            return False
        if refusal.revision < self.in_force.revision:
            return False
        if known is not None and known.digest == refusal.digest:
            return False
        self.in_force.refusal = refusal
        LOG.warning(
            'configuration_refused', extra=_refusal_log_fields(refusal)
        )
        return True

    def _admit_and_announce(self, published: in_force.Published) -> None:
        if not self.in_force.admit(published):
            return
        self.forked_from = ''
        LOG.info(
            'configuration_in_force',
            extra={
                'revision': self.in_force.revision,
                'digest': self.in_force.digest[:12],
            },
        )
        self._heartbeat_protocol.announce()

    def _adopt_newer_sets(self, answers: list[exchange.PeerAnswer]) -> None:
        newer = [
            a
            for a in answers
            if a.set_in_force.revision > self.in_force.revision
        ]
        for answer in sorted(newer, key=lambda a: a.set_in_force.key):
            relation = answer.set_in_force.relation(self.in_force.lineage)
            if relation in in_force.ACCEPTED:
                self._pull(answer.peer)
        for answer in answers:
            if answer.set_in_force.key == self.in_force.lineage.key:
                self._record_refusal(answer.refused)

    def _on_heartbeat(self, heartbeat: heartbeat_message.Heartbeat) -> None:
        newer = heartbeat.revision > self.in_force.revision
        same = heartbeat.revision == self.in_force.revision
        if (
            same
            and heartbeat.digest != self.in_force.digest
            and heartbeat.digest
        ):
            self._record_fork(heartbeat.own.instance, heartbeat.digest)
        if newer and heartbeat.digest != self.forked_from:
            self._newer_peers_by_id[heartbeat.own.instance] = heartbeat.own
            self._newer_set_seen.set()

    def _pull_from_nearest(self) -> bool:
        place = self._heartbeat_protocol.membership.own.place
        peer = min(
            self._newer_peers_by_id.values(), key=lambda m: m.place != place
        )
        pulled = self._pull(peer)
        self._newer_peers_by_id.pop(peer.instance, None)
        if pulled:
            self._newer_peers_by_id.clear()
        return pulled

    def _pull(self, peer: members.Member) -> bool:
        try:
            data = self.transfers.pull(peer)
            if data is None:
                return False
            published = in_force.parse(data)
        except core_errors.KingcupfrontError as error:
            LOG.info(
                'pull_failed',
                extra={'peer': peer.instance, 'reason': str(error)},
            )
            return False
        if (
            published.lineage.relation(self.in_force.lineage)
            in in_force.ACCEPTED
        ):
            self._admit_and_announce(published)
            return True
        if published.lineage.revision > self.in_force.revision:
            self._record_fork(peer.instance, published.lineage.digest)
        return False

    def _record_fork(self, peer: str, digest: str) -> None:
        if digest == self.forked_from:
            return
        self.forked_from = digest
        LOG.error(
            'configuration_forked',
            extra={
                'peer': peer,
                'revision': self.in_force.revision,
                'digest': self.in_force.digest[:12],
                'other': digest[:12],
            },
        )


def _refusal_log_fields(refusal: in_force.Refusal) -> dict[str, typing.Any]:
    return {
        'revision': refusal.revision,
        'digest': refusal.digest[:12],
        'reason': refusal.reason,
    }
