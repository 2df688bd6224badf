"""The configuration in force, kept the same on all entries."""

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
CATCH_UP_SECONDS = 3.0
ROUND_SECONDS = 0.5
RETRY_PULL_SECONDS = 0.2
MAX_PULL_TRIES = 20
ASKED = 2


class ConfigurationDistribution:
    """Puts sets in force that the service or peers offer.

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
        self.held = held
        self.exchange = exchange.ProposalExchange(link, beats, held, time)
        self.transfers = transfers.Transfers(link, held)
        self.waiting_for = 'the instance list'
        self.forked_from = ''
        self.is_list_known: typing.Callable[[], bool] = lambda: True
        self.read_from_service = 0
        self._beats = beats
        self._clock = time
        self._ahead_by_id: dict[str, members.Member] = {}
        self._news = event.Event()
        self._rng = random.Random()
        self._told = b''
        beats.observers.append(self._observe)
        beats.notices.topics.register('refused')(self._on_refused)

    @property
    def is_watcher(self) -> bool:
        """Whether this process is one that reads the service."""
        membership = self._beats.membership
        return membership.own.instance in membership.owners(
            exchange.WATCHERS_KEY,
            membership.own.place,
            exchange.WATCHERS_PER_PLACE,
        )

    def catch_up(self, read: typing.Callable[[], bytes | None]) -> None:
        """Take the set in force at peers, or else that of the service.

        It returns once a set is in force; until then the process is not
        ready and :attr:`waiting_for` says why.

        :param read: returns the service's set, or None if it can't be read.
        """
        patience = CATCH_UP_SECONDS * self._rng.uniform(1, 2)
        end = self._clock.monotonic() + patience
        while self.held.current is None:
            late = self._clock.monotonic() >= end
            leading = late or (self.is_watcher and self.is_list_known())
            self._take_from(
                self.exchange.query_peers(None if leading else ASKED)
            )
            if self.held.current is None and leading:
                self._start_from(read(), late)
            if self.held.current is None:
                gevent.sleep(ROUND_SECONDS * self._rng.uniform(1, 2))
        self._take_from(self.exchange.query_peers(ASKED))
        self.waiting_for = ''

    def _start_from(self, data: bytes | None, late: bool) -> None:
        answers = self.exchange.query_peers()
        asked = len(self.exchange.peers_to_query())
        self._take_from(answers)
        if self.held.current is not None:
            return
        self.waiting_for = (
            f'a configuration: {len(answers)} of {asked} peers answered and '
            f'none has one; the service {"has one" if data else "gave none"}'
        )
        if data and (answers or not asked or late):
            self.put_in_force(data)
            refusal = self.held.refusal
            if self.held.current is None and refusal is not None:
                self.waiting_for = f'a sound set: {refusal.reason}'

    def put_in_force(self, data: bytes) -> None:
        """Put a set that was read from the service in force, if it may be.

        It returns when the set is in force or refused.
        """
        self.read_from_service += 1
        while True:
            item = self.held.examine(data)
            self.exchange.candidate = (
                item.lineage if item else (lineage.Lineage())
            )
            if item is None:
                self._tell_refusal()
                return
            asked_at = self._clock.monotonic()
            pauses = self._beats.pause_detector.count
            answers = self.exchange.query_peers()
            self._take_from(answers)
            if item.lineage.relation(self.held.lineage) in in_force.ACCEPTED:
                decision = self.exchange.decide(answers, asked_at, pauses)
                if decision is exchange.Decision.PROCEED:
                    self._admit_and_announce(item)
                    self.exchange.candidate = lineage.Lineage()
                    return
                gevent.sleep(ROUND_SECONDS)

    def follow_peers(self) -> None:
        """Take sets that peers have put in force, for ever."""
        while True:
            self._news.wait()
            self._news.clear()
            for _ in range(MAX_PULL_TRIES):
                if not self._ahead_by_id:
                    break
                if not self._pull_next():
                    gevent.sleep(RETRY_PULL_SECONDS)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return what is in force and why, for a state dump."""
        refusal = self.held.refusal
        return {
            'revision': self.held.revision,
            'digest': self.held.digest,
            'watching': self.is_watcher,
            'waiting_for': self.waiting_for,
            'forked_from': self.forked_from,
            'candidate': self.exchange.candidate.revision,
            'read_from_service': self.read_from_service,
            'refusal': refusal and dataclasses.asdict(refusal),
            'bytes_given': self.transfers.bytes_given,
            'bytes_taken': self.transfers.bytes_taken,
        }

    def _tell_refusal(self) -> None:
        refusal = self.held.refusal
        if refusal is None or not refusal.digest:
            return
        body = refusals.encode(refusal)
        if refusal.revision >= self.held.revision and body != self._told:
            self._told = body
            LOG.warning('configuration_refused', extra=_row(refusal))
            self._beats.notices.broadcast('refused', body)

    def _on_refused(self, body: bytes) -> bool:
        return self._note_refusal(refusals.decode(body))

    def _note_refusal(self, refusal: in_force.Refusal | None) -> bool:
        known = self.held.refusal
        if refusal is None or refusal.digest == self.held.digest:
            return False
        if refusal.revision < self.held.revision:
            return False
        if known is not None and known.digest == refusal.digest:
            return False
        self.held.refusal = refusal
        LOG.warning('configuration_refused', extra=_row(refusal))
        return True

    def _admit_and_announce(self, item: in_force.Published) -> None:
        if not self.held.admit(item):
            return
        self.forked_from = ''
        LOG.info(
            'configuration_in_force',
            extra={
                'revision': self.held.revision,
                'digest': self.held.digest[:12],
            },
        )
        self._beats.announce()

    def _take_from(self, answers: list[exchange.PeerAnswer]) -> None:
        ahead = [a for a in answers if a.held.revision > self.held.revision]
        for answer in sorted(ahead, key=lambda a: a.held.key):
            relation = answer.held.relation(self.held.lineage)
            if relation in in_force.ACCEPTED:
                self._pull(answer.peer)
        for answer in answers:
            if answer.held.key == self.held.lineage.key:
                self._note_refusal(answer.refused)

    def _observe(self, item: heartbeat_message.Heartbeat) -> None:
        ahead = item.revision > self.held.revision
        same = item.revision == self.held.revision
        if same and item.digest != self.held.digest and item.digest:
            self._note_fork(item.own.instance, item.digest)
        if ahead and item.digest != self.forked_from:
            self._ahead_by_id[item.own.instance] = item.own
            self._news.set()

    def _pull_next(self) -> bool:
        place = self._beats.membership.own.place
        peer = min(self._ahead_by_id.values(), key=lambda m: m.place != place)
        done = self._pull(peer)
        self._ahead_by_id.pop(peer.instance, None)
        if done:
            self._ahead_by_id.clear()
        return done

    def _pull(self, peer: members.Member) -> bool:
        try:
            data = self.transfers.pull(peer)
            if data is None:
                return False
            item = in_force.parse(data)
        except core_errors.KingcupfrontError as error:
            LOG.info(
                'pull_failed',
                extra={'peer': peer.instance, 'reason': str(error)},
            )
            return False
        if item.lineage.relation(self.held.lineage) in in_force.ACCEPTED:
            self._admit_and_announce(item)
            return True
        if item.lineage.revision > self.held.revision:
            self._note_fork(peer.instance, item.lineage.digest)
        return False

    def _note_fork(self, peer: str, digest: str) -> None:
        if digest == self.forked_from:
            return
        self.forked_from = digest
        LOG.error(
            'configuration_forked',
            extra={
                'peer': peer,
                'revision': self.held.revision,
                'digest': self.held.digest[:12],
                'other': digest[:12],
            },
        )


def _row(refusal: in_force.Refusal) -> dict[str, typing.Any]:
    return {
        'revision': refusal.revision,
        'digest': refusal.digest[:12],
        'reason': refusal.reason,
    }
