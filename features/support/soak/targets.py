"""Targets of the soak: stand-ins that keep records, each behind a relay."""

import gevent
import h11

from features.support import platform_server
from features.support import relay
from features.support.soak import records

TOKENS_PER_EVENT = 4
EVENT_GAP_SECONDS = 0.02
PLAIN_WORK_SECONDS = 0.02
# How soon a silent engine sees that a connection has been closed.
CLOSED_CHECK_SECONDS = 0.01


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
            if work.ended_at is None:
                work.ended_at = records.now()

    def last_work(self, attempt):
        """Return the record of the last time that it got an attempt."""
        return next(
            work
            for work in reversed(self.ledger.works)
            if work.attempt == attempt and work.target == self.id
        )

    def note_run(self, attempt, fields):
        super().note_run(attempt, fields)
        self.last_work(attempt).has_run = True
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
        # Until when no event is sent, though the engine is sound.
        self.silent_until = 0.0
        # How many faults let it turn takeovers from backups away.
        self.rejects_takeovers = 0
        # The tokens of copies of other generations that its reports count.
        self.other_tokens = 0
        # The software that new runs get, and that of the runs by attempt.
        self.version = 'v1'
        self._version_by_run = {}

    def entry(self, **more):
        return super().entry(**{'version': self.version} | more)

    def note_run(self, attempt, fields):
        super().note_run(attempt, fields)
        self._version_by_run[attempt] = self.version

    def lose(self, attempt):
        super().lose(attempt)
        self.last_work(attempt).ended_at = records.now()

    def event_text(self, attempt, number):
        text = super().event_text(attempt, number)
        return f'{text} {self._version_by_run[attempt]}'

    def crash(self):
        if self.has_crashed or self.is_unframed:
            # Nothing listens at its address.
            self.relay.close()
        super().crash()

    def serve_request(self, sock, wire, fields):
        self.crashing_part = self.site.crashing_part
        copy = fields.get('kv-from', '')
        is_backup = copy.startswith(self.address) and '/h-' not in copy
        if self.rejects_takeovers and is_backup:
            fields['kv-from'] = 'none'
        return super().serve_request(sock, wire, fields)

    def report(self):
        # Without reported backups generations are moved from an engine that
        # leaves, so the soak plays both.
        targets = self.site.targets.values()
        self.reports_backups = not any(t.is_draining for t in targets)
        return super().report()

    def _held_tokens(self):
        return super()._held_tokens() + self.other_tokens

    def _event(self, sock, wire, attempt, number):
        while records.now() < self.silent_until:
            if platform_server.is_closed(sock):
                raise ConnectionResetError
            gevent.sleep(CLOSED_CHECK_SECONDS)
        super()._event(sock, wire, attempt, number)

    def length(self, fields):
        usage = fields['kingcupfront-token-usage']
        return int(usage.partition(',')[2]) // TOKENS_PER_EVENT
