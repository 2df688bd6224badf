"""Spreads the evidence of crashes among all gateways.

Load pattern: a few crashes a second at the worst, each seen by a few of many
gateways, have to be known everywhere within seconds. News is pushed to a few
random gateways, which push it on (epidemic broadcast; Demers et al., 1987).
What is lost on the way is made up for by calls in both directions at regular
intervals, only while there is evidence. A gateway that was cut off finds out
when it next fetches the directory from a peer, by a digest of what that peer
blocks. Without crashes no calls are made.
"""

import logging
import random

import gevent

from kingcupfront_core import address as addresses
from kingcupfront_core import errors as core_errors
from kingcupfront_gateway import bounded_names
from kingcupfront_gateway import crash_evidence
from kingcupfront_gateway import gateway
from kingcupfront_gateway import members
from kingcupfront_gateway import part_records
from kingcupfront_peer import codec
from kingcupfront_peer import link

LOG = logging.getLogger(__name__)

METHOD = 'crash_evidence'
CALL_TIMEOUT_SECONDS = 0.4
# News of this time is pushed together.
PUSH_INTERVAL_SECONDS = 0.2
# A gateway pushes its news this often, to as many of its data centre, so that
# few are left to the repairs.
PUSHES = 3
PUSHES_IN_ZONE = 2
# How often a random gateway is called after news or a start, and later.
REPAIR_INTERVAL_SECONDS = 1.0
IDLE_REPAIR_INTERVAL_SECONDS = 10.0
# For this long after news or a start, repairs are frequent.
FRESH_SECONDS = 5.0
MAX_SHARED_MARKS = part_records.MAX_EARLY_MARKS + part_records.MAX_LATE_MARKS
MAX_AGE_MILLISECONDS = int(crash_evidence.MEMORY_SECONDS * 1000)


class Schedule:
    """Decides when a gateway calls which others.

    :param known: the gateways that it knows.
    :param zone: its own data centre.
    :param now: the time of its start, in seconds.
    """

    def __init__(
        self,
        known: members.Members,
        zone: str,
        now: float,
        rng: random.Random,
    ) -> None:
        self._members = known
        self._zone = zone
        self._rng = rng
        self._fresh_since = now
        self._news_at = now
        self._pushes_left = 0
        self._repaired_at = float('-inf')

    def recipients(
        self,
        now: float,
        changed_at: float,
        has_records: bool,
        differing_peer: str | None = None,
    ) -> list[str]:
        """Return the addresses of the gateways to call now.

        :param changed_at: when the evidence last changed, in seconds.
        :param has_records: whether there is any evidence.
        :param differing_peer: a gateway that blocks something else, or None.
        """
        is_news = changed_at > self._news_at
        if is_news:
            self._news_at = self._fresh_since = changed_at
            self._pushes_left = PUSHES
        if self._pushes_left:
            self._pushes_left -= 1
            return self._news_recipients(now, is_news)
        is_fresh = now - self._fresh_since < FRESH_SECONDS
        interval = (
            REPAIR_INTERVAL_SECONDS
            if is_fresh or differing_peer is not None
            else IDLE_REPAIR_INTERVAL_SECONDS
        )
        if now - self._repaired_at < interval:
            return []
        self._repaired_at = now
        if differing_peer is not None:
            return [differing_peer]
        if not has_records and not is_fresh:
            return []
        zones = [self._zone, *self._members.other_zones(now)]
        zone = self._rng.choice([self._zone, self._rng.choice(zones)])
        return self._members.sample(zone, now, 1, self._rng)

    def _news_recipients(self, now: float, is_news: bool) -> list[str]:
        """Return some of the own data centre, and at first of each other."""
        chosen = self._members.sample(
            self._zone, now, PUSHES_IN_ZONE, self._rng
        )
        if is_news:
            for other in self._members.other_zones(now):
                chosen += self._members.sample(other, now, 1, self._rng)
        return chosen


class EvidenceExchange:
    """Exchanges evidence with other gateways.

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
        self._evidence = process.crash_evidence
        self._schedule = Schedule(
            known_members, process.settings.zone, self._now(), process.rng
        )
        endpoint.handlers.register(METHOD)(self._handle)

    def run(self) -> None:
        """Push news and repair what was missed; never returns."""
        while True:
            self._evidence.settle(self._now())
            recipients = self._schedule.recipients(
                self._now(),
                self._evidence.changed_at,
                self._evidence.has_records,
                self._evidence.differing_peer,
            )
            self._evidence.differing_peer = None
            for address in recipients:
                gevent.spawn(self._call, address)
            if recipients:
                gevent.sleep(PUSH_INTERVAL_SECONDS)
            else:
                self._evidence.changed.wait(REPAIR_INTERVAL_SECONDS)

    def _now(self) -> float:
        return self._process.clock.monotonic()

    def _call(self, address: str) -> None:
        records = self._evidence.shared_records(self._now())
        try:
            answer = self._link.call(
                addresses.Address.parse(address),
                METHOD,
                self._encode(records),
                CALL_TIMEOUT_SECONDS,
            )
            self._merge(answer.body)
        except core_errors.KingcupfrontError as error:
            LOG.debug(
                'evidence_not_sent',
                extra={'peer': address, 'detail': str(error)},
            )

    def _handle(self, message: codec.Message) -> bytes:
        told = self._merge(message.body)
        return self._encode(self._evidence.records_beyond(told, self._now()))

    def _encode(
        self, records_by_part: dict[str, part_records.PartRecord]
    ) -> bytes:
        settings = self._process.settings
        return encode(
            records_by_part, str(settings.peers), settings.zone, self._now()
        )

    def _merge(self, body: bytes) -> dict[str, part_records.PartRecord]:
        """Add what a peer says, and return it."""
        now = self._now()
        with codec.open_struct(codec.schema.CrashEvidence, body) as message:
            self._members.record_seen(message.address, message.place, now)
            told = decode(message, now)
        self._evidence.merge(told, now)
        return told


def encode(
    records_by_part: dict[str, part_records.PartRecord],
    own_address: str,
    zone: str,
    now: float,
) -> bytes:
    """Return a message with times as ages, since clocks differ.

    Gateways of earlier versions know parts by their ids, however long. To them
    a digest would be another part that accounts for the same crashes, and
    neither would be blocked, so digests are in a list that they do not read.

    :param own_address: where this gateway listens for others.
    :param zone: its data centre.
    """
    parts: list[object] = []
    digest_parts: list[object] = []
    for part_id, record in records_by_part.items():
        is_digest = bounded_names.is_digest(part_id)
        chosen = digest_parts if is_digest else parts
        chosen.append(_encode_part(part_id, record, now))
    return codec.schema.CrashEvidence.new_message(
        address=own_address,
        place=zone,
        parts=parts,
        digestParts=digest_parts,
    ).to_bytes()


def _encode_part(
    part_id: str, record: part_records.PartRecord, now: float
) -> object:
    return codec.schema.SuspectPart.new_message(
        id=part_id,
        depth=record.depth,
        isProven=record.is_proven,
        wasBlocked=record.was_blocked,
        marks=[
            codec.schema.CrashMark.new_message(
                crash=crash,
                ageMilliseconds=_milliseconds(now - mark.at),
                sentAgeMilliseconds=_milliseconds(now - mark.sent_at),
                isCleared=mark.is_cleared,
            )
            for crash, mark in record.marks_by_crash.items()
        ],
    )


def _milliseconds(seconds: float) -> int:
    return min(max(0, round(seconds * 1000)), MAX_AGE_MILLISECONDS)


def decode(message: object, now: float) -> dict[str, part_records.PartRecord]:
    """Return the records of a message with times of this process's clock.

    Gateways of earlier versions tell long ids and names as they are.
    """
    parts = [*message.parts, *message.digestParts]
    return {
        part_records.part_name(part.id): part_records.PartRecord(
            depth=part.depth,
            is_proven=part.isProven,
            was_blocked=part.wasBlocked,
            marks_by_crash={
                part_records.mark_name(mark.crash): part_records.Mark(
                    sent_at=now - mark.sentAgeMilliseconds / 1000,
                    at=now - mark.ageMilliseconds / 1000,
                    is_cleared=mark.isCleared,
                )
                for mark in list(part.marks)[:MAX_SHARED_MARKS]
            },
        )
        for part in parts[: crash_evidence.MAX_SHARED_RECORDS]
    }
