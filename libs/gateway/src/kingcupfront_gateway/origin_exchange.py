"""Tells a few other gateways which software version began a stream.

Load pattern: while a service has several software versions, each stream that
a caller may take up has to be known where the caller comes next, also if the
gateway that began it has ended. Each record goes to a few gateways that all
of its data centre find by rendezvous hashing, and to those of one other data
centre; a gateway that has to know asks them side by side. With one version
nothing is sent.
"""

from collections.abc import Iterable
import logging

import gevent
from gevent import event

from kingcupfront_core import address as addresses
from kingcupfront_core import errors as core_errors
from kingcupfront_core import rendezvous
from kingcupfront_decisions import software_versions
from kingcupfront_gateway import gateway
from kingcupfront_gateway import members
from kingcupfront_gateway import origin_answers
from kingcupfront_gateway import stream_origins
from kingcupfront_peer import codec
from kingcupfront_peer import link

LOG = logging.getLogger(__name__)

RECORD_METHOD = 'stream_origins'
ASK_METHOD = 'stream_origin_ask'
# The gateways of a data centre that keep a record beside the one that began
# the stream: if 40 of 100 end at once, 94 of 100 records remain.
HOLDERS = 3
# One more is asked, since views of the members differ for a moment.
ASKED_HOLDERS = 4
CALL_TIMEOUT_SECONDS = 0.25
# Leaves time for the answer of one that asks on behalf of another.
FORWARDED_TIMEOUT_SECONDS = 0.12
# How long the others are waited for once one knows the stream: they may say
# another version. The slowest link has a round trip of 24 ms.
AGREEMENT_SECONDS = 0.06
MAX_ORIGINS_PER_MESSAGE = 256


class OriginExchange:
    """Publishes the origins of streams and asks for them.

    :param process: the gateway process.
    :param endpoint: the process's endpoint for messages.
    :param known_members: the gateways that it knows.
    """

    def __init__(
        self,
        process: gateway.Gateway,
        endpoint: link.Link,
        known_members: members.Members,
    ) -> None:
        self._process = process
        self._link = endpoint
        self._members = known_members
        self._zone = process.settings.zone
        self._own_address = str(process.settings.peers)
        self._pending: dict[str, software_versions.Begun] = {}
        self._has_pending = event.Event()
        endpoint.handlers.register(RECORD_METHOD)(self._handle_record)
        endpoint.handlers.register(ASK_METHOD)(self._handle_ask)

    def publish(self, stream_id: str, begun: software_versions.Begun) -> None:
        """Tell others how a stream began, without waiting for it.

        :param stream_id: its name, of bounded length.
        """
        self._pending[stream_id] = begun
        self._has_pending.set()

    def run(self) -> None:
        """Send what is published; never returns."""
        while True:
            self._has_pending.wait()
            self._has_pending.clear()
            pending, self._pending = self._pending, {}
            self._send(pending, is_first=True)

    def publish_earlier(self) -> None:
        """Publish the streams in progress when a version is added.

        Never returns.
        """
        targets = self._process.targets
        while True:
            targets.version_added.wait()
            targets.version_added.clear()
            since = self._now() - software_versions.ORIGIN_SECONDS
            earlier = self._process.stream_origins.since(since)
            if earlier and targets.versions.are_mixed(since):
                self._pending = earlier | self._pending
                self._has_pending.set()

    def _send(
        self,
        begun_by_id: dict[str, software_versions.Begun],
        *,
        is_first: bool,
    ) -> None:
        """Send records to their holders, grouped by gateway.

        :param is_first: whether one other data centre is told too.
        """
        ids_by_recipient: dict[tuple[str, bool], list[str]] = {}
        for stream_id in begun_by_id:
            recipients = [(a, False) for a in self._holders(stream_id)]
            if is_first:
                recipients += [(a, True) for a in self._contact(stream_id)]
            for recipient in recipients:
                ids_by_recipient.setdefault(recipient, []).append(stream_id)
        for (address, is_forwarded), ids in ids_by_recipient.items():
            for start in range(0, len(ids), MAX_ORIGINS_PER_MESSAGE):
                part = ids[start : start + MAX_ORIGINS_PER_MESSAGE]
                body = codec.schema.StreamOrigins.new_message(
                    isForwarded=is_forwarded,
                    origins=[
                        codec.schema.StreamOrigin.new_message(
                            id=stream_id,
                            version=begun_by_id[stream_id].version or '',
                            start=begun_by_id[stream_id].start,
                        )
                        for stream_id in part
                    ],
                )
                gevent.spawn(self._call, address, RECORD_METHOD, body)

    def ask(
        self, stream_id: str | None, services: list[str], window: float
    ) -> origin_answers.Answers:
        """Ask other gateways how a stream began, side by side.

        :param stream_id: its name, of bounded length; None if the caller does
            not name it.
        :param services: the services that may have begun it.
        :param window: for how long a version has to have served alone to be
            the only one that can have begun it, in seconds.
        """
        asked = [(a, False) for a in self._holders(stream_id or '', True)]
        now = self._now()
        for zone in self._members.other_zones(now):
            contacts = self._members.sample(zone, now, 1, self._process.rng)
            asked += [(a, True) for a in contacts]
        return self._ask_all(
            asked, stream_id, services, window, CALL_TIMEOUT_SECONDS
        )

    def _ask_all(
        self,
        asked: Iterable[tuple[str, bool]],
        stream_id: str | None,
        services: list[str],
        window: float,
        timeout: float,
    ) -> origin_answers.Answers:
        """Ask gateways side by side, until soon after one knows the stream."""
        found = origin_answers.Answers()
        tasks = [
            gevent.spawn(
                self._call,
                address,
                ASK_METHOD,
                codec.schema.StreamOriginAsk.new_message(
                    isForwarded=is_forwarded,
                    id=stream_id or '',
                    services=services,
                    windowMilliseconds=int(window * 1000),
                ),
                timeout,
            )
            for address, is_forwarded in asked
        ]
        try:
            waiting = list(tasks)
            for task in gevent.iwait(tasks, timeout=timeout):
                waiting.remove(task)
                self._add_answer(found, task.value)
                if found.begun is not None:
                    break
            if found.begun is None:
                found.is_complete &= not waiting
                return found
            for task in gevent.iwait(waiting, timeout=AGREEMENT_SECONDS):
                self._add_answer(found, task.value)
            return found
        finally:
            gevent.killall(tasks, block=False)

    def _add_answer(
        self, found: origin_answers.Answers, body: bytes | None
    ) -> None:
        if body is None:
            found.is_complete = False
            return
        with codec.open_struct(
            codec.schema.StreamOriginAnswer, body
        ) as answer:
            if answer.isKnown:
                found.add_begun(
                    software_versions.Begun(
                        answer.version or None, answer.start
                    )
                )
            found.add_sole(answer.soleVersion or None)
            found.is_complete &= answer.isComplete
            found.is_mixed |= answer.isMixed
            found.has_answer = True

    def _holders(self, stream_id: str, is_asking: bool = False) -> list[str]:
        """Return the other gateways of this zone that keep a record."""
        known = self._members.known_in_own_zone(self._now())
        count = ASKED_HOLDERS if is_asking else HOLDERS
        ranked = rendezvous.rank(stream_id, known)[:count]
        return [a for a in ranked if a != self._own_address]

    def _contact(self, stream_id: str) -> list[str]:
        """Return a gateway of the data centre that keeps a copy."""
        now = self._now()
        zones = rendezvous.rank(stream_id, self._members.other_zones(now))
        if not zones:
            return []
        return self._members.sample(zones[0], now, 1, self._process.rng)

    def _now(self) -> float:
        return self._process.clock.monotonic()

    def _call(
        self,
        address: str,
        method: str,
        message: object,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> bytes | None:
        """Call a gateway; return the body of its answer, or None."""
        try:
            return self._link.call(
                addresses.Address.parse(address),
                method,
                message.to_bytes(),
                timeout,
            ).body
        except core_errors.KingcupfrontError as error:
            LOG.debug(
                'origin_call_failed',
                extra={
                    'peer': address,
                    'method': method,
                    'detail': str(error),
                },
            )
            return None

    def _handle_record(self, message: codec.Message) -> bytes:
        now = self._now()
        with codec.open_struct(
            codec.schema.StreamOrigins, message.body
        ) as told:
            begun_by_id = {
                stream_origins.stream_name(origin.id): software_versions.Begun(
                    origin.version or None, origin.start
                )
                for origin in list(told.origins)[:MAX_ORIGINS_PER_MESSAGE]
            }
            is_forwarded = told.isForwarded
        for stream_id, begun in begun_by_id.items():
            self._process.stream_origins.record(stream_id, begun, now)
        if is_forwarded:
            self._send(begun_by_id, is_first=False)
        return codec.schema.StreamOriginAnswer.new_message().to_bytes()

    def _handle_ask(self, message: codec.Message) -> bytes:
        with codec.open_struct(
            codec.schema.StreamOriginAsk, message.body
        ) as ask:
            stream_id, services = ask.id, list(ask.services)
            window = ask.windowMilliseconds / 1000
            is_forwarded = ask.isForwarded
        found = origin_answers.Answers()
        if stream_id:
            found.begun = self._process.stream_origins.find(
                stream_id, self._now()
            )
            if found.begun is None and is_forwarded:
                holders = [(a, False) for a in self._holders(stream_id, True)]
                found = self._ask_all(
                    holders,
                    stream_id,
                    services,
                    window,
                    FORWARDED_TIMEOUT_SECONDS,
                )
        own = stream_origins.sole_version(self._process, services, window)
        found.add_sole(own and own.version)
        sole = found.sole
        since = self._now() - window
        versions = self._process.targets.versions.versions_of(services, since)
        return codec.schema.StreamOriginAnswer.new_message(
            isKnown=found.begun is not None,
            version=(found.begun and found.begun.version) or '',
            start=found.begun.start if found.begun else '',
            soleVersion=(sole and sole.version) or '',
            isComplete=found.is_complete,
            isMixed=found.is_mixed or len(versions) > 1,
        ).to_bytes()
