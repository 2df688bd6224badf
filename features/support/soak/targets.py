"""Targets of the soak: stand-ins that keep records, each behind a relay."""

import gevent
import h11

from features.support import platform_server
from features.support import relay
from features.support.soak import records

TOKENS_PER_EVENT = 4
EVENT_GAP_SECONDS = 0.02
PLAIN_WORK_SECONDS = 0.02


class Recorded:
    """Keeps records of a stand-in; ``crash`` ends it with all its work."""

    ledger = None
    work_seconds = 0.0

    def serve(self, stack):
        super().serve(stack)
        self.behind = self.address
        self.relay = relay.Relay(self.address)
        stack.callback(self.relay.close)
        self.address = self.relay.address
        self.late_bytes = self.ledger.late_bytes
        return self

    def _send(self, sock, wire, status, headers, body):
        self._note_signs(status, headers)
        return super()._send(sock, wire, status, headers, body)

    def _note_signs(self, status, headers):
        """Note what a reply tells its gateway of this target."""
        attempt = self.ledger.attempts_by_id.get(
            headers.get('Kingcupfront-Attempt-Id')
        )
        if attempt is None:
            return
        path = attempt.gateway, attempt.pid, self.id
        if status == 503 and self.refusal_signs:
            seconds = float(self.refusal_signs['Retry-After'])
            self.ledger.silences_by_path[path].append((records.now(), seconds))
        if self.signs:
            self.ledger.told_leaving_by_path.setdefault(path, records.now())

    def crash(self):
        """End at once: nobody listens, and all connections break."""
        self.relay.target = '127.0.0.1:1'
        self.relay.reset(is_end=True)
        super().crash()

    def serve_request(self, sock, wire, fields):
        attempt = fields.get('kingcupfront-attempt-id', '')
        if not attempt:
            return super().serve_request(sock, wire, fields)
        self.ledger.arrivals.append(
            records.Arrival(records.now(), attempt, self.id, self.service)
        )
        work = records.Work(attempt, self.id, records.now())
        self.ledger.works.append(work)
        if self.faults:
            self.ledger.spoiled_ids.add(attempt)
        if wire.their_state is h11.DONE:
            self.ledger.bodies.append((attempt, self.bodies.pop()))
        try:
            gevent.sleep(self.work_seconds)
            return super().serve_request(sock, wire, fields)
        finally:
            work.ended_at = records.now()

    def note_run(self, attempt, fields):
        super().note_run(attempt, fields)
        self.ledger.runs_by_id[attempt].append(
            records.Run(
                records.now(),
                attempt,
                self.id,
                self.service,
                fields.get('kingcupfront-tenant', ''),
                'kv-from' in fields,
            )
        )


class Plain(Recorded, platform_server.Server):
    """A plain service."""

    work_seconds = PLAIN_WORK_SECONDS


class Engine(Recorded, platform_server.Engine):
    """A model engine; the length of an answer is asked for by its caller."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.gap = EVENT_GAP_SECONDS
        self.site = None

    def crash(self):
        if self.has_crashed or self.is_unframed:
            # Nothing listens at its address.
            self.relay.close()
        super().crash()

    def serve_request(self, sock, wire, fields):
        self.crashing_part = self.site.crashing_part
        return super().serve_request(sock, wire, fields)

    def report(self):
        # Without reported backups generations are moved from an engine that
        # leaves, so the soak plays both.
        targets = self.site.targets.values()
        self.reports_backups = not any(t.is_draining for t in targets)
        return super().report()

    def length(self, fields):
        usage = fields['kingcupfront-token-usage']
        return int(usage.partition(',')[2]) // TOKENS_PER_EVENT
