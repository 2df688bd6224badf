"""Heartbeats over UDP: the tasks that keep a membership up to date."""

from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import logging
import random
import typing

import gevent

from kingcupfront_core import address as addresses
from kingcupfront_core import clock
from kingcupfront_core import registry
from kingcupfront_peer import codec
from kingcupfront_peer import datagrams
from kingcupfront_peer import heartbeat_message
from kingcupfront_peer import link as links
from kingcupfront_peer import member as members
from kingcupfront_peer import membership as memberships
from kingcupfront_peer import notices
from kingcupfront_peer import pause as pauses
from kingcupfront_peer import pending_probes

LOG = logging.getLogger(__name__)
PROBE_INTERVAL_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.4
INDIRECT_TIMEOUT_SECONDS = 0.8
TICK_SECONDS = 0.25
TICKS_PER_EXPIRY = 4
TICKS_PER_REVIEW = 20
JITTER_FRACTION = 0.1
HELPERS = 3
MAX_RELAYED_PROBES = 16
USAGE_ROWS = 16

kinds: registry.Registry[typing.Callable[..., None]] = registry.Registry(
    'datagram kind'
)


class HeartbeatProtocol:
    """Probes members, answers probes and passes news on.

    :param link: the own process's link; gives name, codec and numbers.
    :param place: the own place.
    :param time: the clock.
    :param rng: the source of random numbers.
    """

    def __init__(
        self,
        link: links.Link,
        place: str,
        *,
        time: clock.Clock = clock.SYSTEM,
        rng: random.Random | None = None,
    ) -> None:
        self._link = link
        self._clock = time
        self._rng = rng or random.Random()
        own = members.Member(
            link.instance,
            link.address or addresses.Address('127.0.0.1', 0),
            place,
            link.incarnation,
        )
        self.membership = memberships.Membership(own, self._rng)
        self.notices = notices.Notices(
            place,
            time,
            self._rng,
            self.membership.reachable,
            self._send_notice,
        )
        self.pause_detector = pauses.PauseDetector(time)
        self.datagrams = datagrams.DatagramTransport(link, self._receive)
        self.summarize: typing.Callable[[], heartbeat_message.Summary] = (
            heartbeat_message.Summary
        )
        self.observers: list[
            typing.Callable[[heartbeat_message.Heartbeat], None]
        ] = []
        self._usage_start = 0
        self._relayed = 0
        self._acks = pending_probes.PendingProbes()

    @contextlib.contextmanager
    def running(self, where: addresses.Address) -> Iterator[None]:
        """Send and receive heartbeats while the block runs.

        :param where: the address of the own peer listener.
        """
        self.membership.own = dataclasses.replace(
            self.membership.own, address=where
        )
        with self.datagrams.running(where):
            tasks = [gevent.spawn(self._probe_all), gevent.spawn(self._tick)]
            try:
                yield
            finally:
                gevent.killall(tasks)

    def check_trusted(self) -> bool:
        """Return whether the view may be acted on, after a check for a pause.

        Call it right before an act that an old view must not cause.
        """
        self._check_pause()
        return self.membership.trusted

    def leave(self) -> None:
        """Tell the others that this process is leaving."""
        self.membership.leave()
        for item in self.membership.sample_reachable('', HELPERS):
            gevent.spawn(self._probe, item)

    def probe_address(self, where: addresses.Address) -> None:
        """Probe an address of which nothing else is known.

        :param where: a peer listener.
        """
        self._send(where, 'ping', 0)

    def announce(self) -> None:
        """Send a heartbeat to a few peers at once, as something changed."""
        for item in self.notices.choose_receivers():
            self._send(item.address, 'notice', 0)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the view and the traffic for a state dump."""
        return self.membership.as_dict() | {
            'traffic': dataclasses.asdict(self.datagrams.traffic),
            'refused_frames': self._link.refused_frames,
            'dropped_notices': self.notices.dropped,
            'pauses': self.pause_detector.count,
            'longest_pause_seconds': round(
                self.pause_detector.longest_seconds, 3
            ),
        }

    def _probe_all(self) -> None:
        gevent.sleep(self._rng.uniform(0, PROBE_INTERVAL_SECONDS))
        while True:
            target = self.membership.next_probed_member()
            if target is not None:
                gevent.spawn(self._probe, target)
            jitter = self._rng.uniform(
                1 - JITTER_FRACTION, 1 + JITTER_FRACTION
            )
            gevent.sleep(PROBE_INTERVAL_SECONDS * jitter)

    def _tick(self) -> None:
        for count in itertools.count(1):
            gevent.sleep(TICK_SECONDS)
            self._check_pause()
            if count % TICKS_PER_EXPIRY == 0:
                self._expire()
            if count % TICKS_PER_REVIEW == 0:
                self.membership.refresh_view(self._clock.monotonic())

    def _expire(self) -> None:
        for item in self.membership.expire_suspects(self._clock.monotonic()):
            LOG.warning(
                'member_dead',
                extra={'member': item.instance, 'place': item.place},
            )

    def _check_pause(self) -> None:
        if not self.pause_detector.check_for_pause():
            return
        LOG.warning('own_pause', extra={'count': self.pause_detector.count})
        self.membership.apply_pause(self._clock.monotonic())
        for item in self.membership.sample_reachable(
            '', memberships.ACKS_TO_REGAIN_TRUST
        ):
            gevent.spawn(self._probe, item)

    def _probe(self, target: members.Member) -> None:
        health = 1 + self.membership.health_score
        pauses_before = self.pause_detector.count
        number = self._link.next_number()
        with self._acks.track(number) as acked:
            self._send(target.address, 'ping', number, target.instance)
            if acked.wait(PROBE_TIMEOUT_SECONDS * health) is not None:
                return
            for helper in self.membership.sample_reachable(
                target.instance, HELPERS
            ):
                self._send(
                    helper.address, 'probe', number, probed=target.instance
                )
            if acked.wait(INDIRECT_TIMEOUT_SECONDS * health) is not None:
                return
        self._check_pause()
        if self.pause_detector.count == pauses_before:
            now = self._clock.monotonic()
            self.membership.apply_probe_failure(target.instance, now)

    def _receive(
        self,
        message: codec.Message,
        item: heartbeat_message.Heartbeat,
        source: addresses.Address,
    ) -> None:
        kinds.get(message.kind)(self, message, item, source)
        for notice in item.notices:
            self.notices.receive(notice)

    @kinds.register('ping')
    def _on_ping(
        self,
        message: codec.Message,
        item: heartbeat_message.Heartbeat,
        source: addresses.Address,
    ) -> None:
        self._hear(item)
        self._send(source, 'ack', 0, message.sender, answers=message.number)

    @kinds.register('ack')
    def _on_ack(
        self,
        message: codec.Message,
        item: heartbeat_message.Heartbeat,
        source: addresses.Address,
    ) -> None:
        if not self._acks.is_pending(item.answers):
            self._hear(item)
            return
        now = self._clock.monotonic()
        if item.probed:
            self._hear(item)
            self.membership.apply_indirect_ack(item.probed, now)
        else:
            self.membership.apply_ack(item, now)
            self._observe(item)
        self._acks.resolve(item)

    @kinds.register('probe')
    def _on_probe(
        self,
        message: codec.Message,
        item: heartbeat_message.Heartbeat,
        source: addresses.Address,
    ) -> None:
        self._hear(item)
        target = self.membership.members_by_id.get(item.probed)
        if target is not None and self._relayed < MAX_RELAYED_PROBES:
            gevent.spawn(self._relay, target, message.number, source)

    @kinds.register('notice')
    def _on_notice(
        self,
        message: codec.Message,
        item: heartbeat_message.Heartbeat,
        source: addresses.Address,
    ) -> None:
        self._hear(item)

    def _relay(
        self, target: members.Member, number: int, asker: addresses.Address
    ) -> None:
        self._relayed += 1
        try:
            own_number = self._link.next_number()
            with self._acks.track(own_number) as acked:
                self._send(target.address, 'ping', own_number)
                answer = acked.wait(PROBE_TIMEOUT_SECONDS)
        finally:
            self._relayed -= 1
        if answer is not None:
            self._send(asker, 'ack', 0, answers=number, probed=target.instance)

    def _hear(self, item: heartbeat_message.Heartbeat) -> None:
        self.membership.apply_heartbeat(item, self._clock.monotonic())
        self._observe(item)

    def _observe(self, item: heartbeat_message.Heartbeat) -> None:
        for observer in self.observers:
            observer(item)

    def _send_notice(
        self, to: members.Member, notice: heartbeat_message.Notice
    ) -> None:
        self._send(to.address, 'notice', 0, notices=(notice,))

    def _send(
        self,
        to: addresses.Address,
        kind: str,
        number: int,
        receiver: str = '',
        **fields: typing.Any,
    ) -> None:
        summary = self.summarize()
        body = heartbeat_message.Heartbeat(
            own=self.membership.own,
            revision=summary.revision,
            digest=summary.digest,
            listing=summary.listing,
            usage=self._usage_rows(summary.usage),
            others=self.membership.select_records(receiver),
            **{'notices': self.notices.next_repeats()} | fields,
        )
        self.datagrams.send_heartbeat(to, kind, body, number)

    def _usage_rows(
        self, rows: tuple[heartbeat_message.Usage, ...]
    ) -> tuple[heartbeat_message.Usage, ...]:
        if len(rows) <= USAGE_ROWS:
            return rows
        start = self._usage_start % len(rows)
        self._usage_start += USAGE_ROWS
        return (rows + rows)[start : start + USAGE_ROWS]
