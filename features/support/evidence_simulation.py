"""Simulates how the evidence of a crash spreads among gateways.

The recipients are those that the gateway chooses; time passes in steps of
its push interval. Stopped gateways do not answer.
"""

import random

from kingcupfront_gateway import crash_evidence
from kingcupfront_gateway import evidence_exchange
from kingcupfront_gateway import members
from kingcupfront_peer import codec

# A gateway knows all of its data centre, and some of each other.
CONTACTS = 3
START = 1000.0


class Spread:
    """Gateways and what each of them knows and has sent."""

    def __init__(self, instances, zones, stopped_part, seed):
        self.rng = random.Random(seed)
        self.now = START
        names = [f'10.{n % zones}.{n}.1:8748' for n in range(instances)]
        self.zone_by_name = {n: n.split('.')[1] for n in names}
        stopped = self.rng.sample(names, round(instances * stopped_part))
        self.running = [n for n in names if n not in stopped]
        self.members = {n: self._members(n, names) for n in self.running}
        self.evidence = {
            n: crash_evidence.CrashEvidence(n, 0.0) for n in self.running
        }
        self.bytes_sent = dict.fromkeys(self.running, 0)
        self.messages = 0
        # When all running ones knew, in seconds.
        self.informed_at = None
        self.schedules = {
            # Gateways start at different times.
            n: evidence_exchange.Schedule(
                self.members[n],
                self.zone_by_name[n],
                START - self.rng.random() - 1,
                self.rng,
            )
            for n in self.running
        }

    def _members(self, name, names):
        known = members.Members(name, self.zone_by_name[name])
        by_zone = {}
        for other in names:
            by_zone.setdefault(self.zone_by_name[other], []).append(other)
        for zone, found in by_zone.items():
            if zone != self.zone_by_name[name]:
                found = self.rng.sample(found, min(CONTACTS, len(found)))
            for other in found:
                known.record_seen(other, zone, START)
        return known

    def crash(self):
        seen_by = self.rng.choice(self.running)
        self.evidence[seen_by].record_crash(
            'engine-1/1700000000000',
            ['5fcb28d72a70', '4b2abafb0c79', '6fe4d410c36'],
            sent_at=self.now - 0.3,
            now=self.now,
        )

    def run(self, seconds):
        """Let time pass, in steps of the push interval."""
        step = evidence_exchange.PUSH_INTERVAL_SECONDS
        for _ in range(round(seconds / step)):
            if self.informed_at is None and self.informed() == len(
                self.running
            ):
                self.informed_at = self.now
            for name in self.running:
                evidence = self.evidence[name]
                recipients = self.schedules[name].recipients(
                    self.now, evidence.changed_at, evidence.has_records
                )
                for other in recipients:
                    self._call(name, other)
            self.now += step

    def _call(self, name, other):
        """Tell another gateway, and take its answer, if it answers."""
        told = self._transmit(
            name, self.evidence[name].shared_records(self.now)
        )
        if other not in self.evidence:
            return
        evidence = self.evidence[other]
        evidence.merge(told, self.now)
        answer = evidence.records_beyond(told, self.now)
        self.evidence[name].merge(self._transmit(other, answer), self.now)

    def _transmit(self, name, records):
        body = evidence_exchange.encode(
            records, name, self.zone_by_name[name], self.now
        )
        self.bytes_sent[name] += len(body) + ENVELOPE_BYTES
        self.messages += 1
        with codec.open_struct(codec.schema.CrashEvidence, body) as message:
            return evidence_exchange.decode(message, self.now)

    def informed(self):
        return sum(e.has_records for e in self.evidence.values())


# The envelope of a message, its tag and the packets of a connection.
ENVELOPE_BYTES = 500
