"""The heartbeat protocol over UDP: tasks that keep a membership up to date."""

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
INDIRECT_PROBE_TIMEOUT_SECONDS = 0.8
TICK_SECONDS = 0.25
TICKS_PER_EXPIRY = 4
TICKS_PER_VIEW_REFRESH = 20
JITTER_FRACTION = 0.1
SAMPLED_MEMBERS = 3
MAX_RELAYED_PROBES = 16
MAX_SENT_USAGE_ROWS = 16

datagram_handlers: registry.Registry[typing.Callable[..., None]] = (
    registry.Registry('datagram kind')
)


class HeartbeatProtocol:
    """Probes members, answers probes and spreads notices.

    ``summarize`` returns the state to send with each heartbeat. The
    ``observers`` are called with each heartbeat that arrives.

    :param link: this process's link; gives instance name, codec and message
        numbers.
    :param place: the data centre of this process.
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
        self._usage_offset = 0
        self._relayed_probes = 0
        self._pending_probes = pending_probes.PendingProbes()

    @contextlib.contextmanager
    def running(self, where: addresses.Address) -> Iterator[None]:
        """Send and receive heartbeats while the block runs.

        :param where: the address of this process's peer listener.
        """
        self.membership.own = dataclasses.replace(
            self.membership.own, address=where
        )
        with self.datagrams.running(where):
            tasks = [
                gevent.spawn(self._probe_members),
                gevent.spawn(self._run_ticks),
            ]
            try:
                yield
            finally:
                gevent.killall(tasks)

    def check_trusted(self) -> bool:
        """Check for a pause and return whether the view may be acted on.

        Call it right before an action that an outdated view must not cause.
        """
        self._check_for_pause()
        return self.membership.trusted

    def leave(self) -> None:
        """Mark this process as leaving and tell a few members at once."""
        self.membership.leave()
        for member in self.membership.sample_reachable('', SAMPLED_MEMBERS):
            gevent.spawn(self._probe, member)

    def probe_address(self, where: addresses.Address) -> None:
        """Probe an address whose instance is not known.

        :param where: the address of a peer listener.
        """
        self._send(where, 'ping', 0)

    def announce(self) -> None:
        """Send a heartbeat to a few peers at once, after a local change."""
        for member in self.notices.choose_receivers():
            self._send(member.address, 'notice', 0)

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

    def _probe_members(self) -> None:
        gevent.sleep(self._rng.uniform(0, PROBE_INTERVAL_SECONDS))
        while True:
            member = self.membership.next_probed_member()
            if member is not None:
                gevent.spawn(self._probe, member)
            jitter = self._rng.uniform(
                1 - JITTER_FRACTION, 1 + JITTER_FRACTION
            )
            gevent.sleep(PROBE_INTERVAL_SECONDS * jitter)

    def _run_ticks(self) -> None:
        for count in itertools.count(1):
            gevent.sleep(TICK_SECONDS)
            self._check_for_pause()
            if count % TICKS_PER_EXPIRY == 0:
                self._expire_suspects()
            if count % TICKS_PER_VIEW_REFRESH == 0:
                self.membership.refresh_view(self._clock.monotonic())

    def _expire_suspects(self) -> None:
        for member in self.membership.expire_suspects(self._clock.monotonic()):
            LOG.warning(
                'member_dead',
                extra={'member': member.instance, 'place': member.place},
            )

    def _check_for_pause(self) -> None:
        if not self.pause_detector.check_for_pause():
            return
        LOG.warning('own_pause', extra={'count': self.pause_detector.count})
        self.membership.apply_pause(self._clock.monotonic())
        for member in self.membership.sample_reachable(
            '', memberships.ACKS_TO_REGAIN_TRUST
        ):
            gevent.spawn(self._probe, member)

    def _probe(self, member: members.Member) -> None:
        timeout_factor = 1 + self.membership.health_score
        pauses_before = self.pause_detector.count
        number = self._link.next_number()
        with self._pending_probes.track(number) as result:
            self._send(member.address, 'ping', number, member.instance)
            if result.wait(PROBE_TIMEOUT_SECONDS * timeout_factor) is not None:
                return
            for relay in self.membership.sample_reachable(
                member.instance, SAMPLED_MEMBERS
            ):
                self._send(
                    relay.address, 'probe', number, probed=member.instance
                )
            if (
                result.wait(INDIRECT_PROBE_TIMEOUT_SECONDS * timeout_factor)
                is not None
            ):
                return
        self._check_for_pause()
        if self.pause_detector.count == pauses_before:
            now = self._clock.monotonic()
            self.membership.apply_probe_failure(member.instance, now)

    def _receive(
        self,
        message: codec.Message,
        heartbeat: heartbeat_message.Heartbeat,
        source: addresses.Address,
    ) -> None:
        datagram_handlers.get(message.kind)(self, message, heartbeat, source)
        for notice in heartbeat.notices:
            self.notices.receive(notice)

    @datagram_handlers.register('ping')
    def _on_ping(
        self,
        message: codec.Message,
        heartbeat: heartbeat_message.Heartbeat,
        source: addresses.Address,
    ) -> None:
        self._apply_heartbeat(heartbeat)
        self._send(source, 'ack', 0, message.sender, answers=message.number)

    @datagram_handlers.register('ack')
    def _on_ack(
        self,
        message: codec.Message,
        heartbeat: heartbeat_message.Heartbeat,
        source: addresses.Address,
    ) -> None:
        if not self._pending_probes.is_pending(heartbeat.answers):
            self._apply_heartbeat(heartbeat)
            return
        now = self._clock.monotonic()
        if heartbeat.probed:
            self._apply_heartbeat(heartbeat)
            self.membership.apply_indirect_ack(heartbeat.probed, now)
        else:
            self.membership.apply_ack(heartbeat, now)
            self._notify_observers(heartbeat)
        self._pending_probes.resolve(heartbeat)

    @datagram_handlers.register('probe')
    def _on_probe(
        self,
        message: codec.Message,
        heartbeat: heartbeat_message.Heartbeat,
        source: addresses.Address,
    ) -> None:
        self._apply_heartbeat(heartbeat)
        member = self.membership.members_by_id.get(heartbeat.probed)
        if member is not None and self._relayed_probes < MAX_RELAYED_PROBES:
            gevent.spawn(self._relay_probe, member, message.number, source)

    @datagram_handlers.register('notice')
    def _on_notice(
        self,
        message: codec.Message,
        heartbeat: heartbeat_message.Heartbeat,
        source: addresses.Address,
    ) -> None:
        self._apply_heartbeat(heartbeat)

    def _relay_probe(
        self, member: members.Member, number: int, requester: addresses.Address
    ) -> None:
        self._relayed_probes += 1
        try:
            own_number = self._link.next_number()
            with self._pending_probes.track(own_number) as result:
                self._send(member.address, 'ping', own_number)
                answer = result.wait(PROBE_TIMEOUT_SECONDS)
        finally:
            self._relayed_probes -= 1
        if answer is not None:
            self._send(
                requester, 'ack', 0, answers=number, probed=member.instance
            )

    def _apply_heartbeat(self, heartbeat: heartbeat_message.Heartbeat) -> None:
        self.membership.apply_heartbeat(heartbeat, self._clock.monotonic())
        self._notify_observers(heartbeat)

    def _notify_observers(
        self, heartbeat: heartbeat_message.Heartbeat
    ) -> None:
        for observer in self.observers:
            observer(heartbeat)

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
        heartbeat = heartbeat_message.Heartbeat(
            own=self.membership.own,
            revision=summary.revision,
            digest=summary.digest,
            listing=summary.listing,
            usage=self._next_usage_rows(summary.usage),
            others=self.membership.select_records(receiver),
            **{'notices': self.notices.next_repeats()} | fields,
        )
        self.datagrams.send_heartbeat(to, kind, heartbeat, number)

    def _next_usage_rows(
        self, rows: tuple[heartbeat_message.Usage, ...]
    ) -> tuple[heartbeat_message.Usage, ...]:
        if len(rows) <= MAX_SENT_USAGE_ROWS:
            return rows
        start = self._usage_offset % len(rows)
        self._usage_offset += MAX_SENT_USAGE_ROWS
        return (rows + rows)[start : start + MAX_SENT_USAGE_ROWS]
