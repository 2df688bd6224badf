"""Callers whose requests last short and long against the grace of a stop."""

import dataclasses
import http.client
import socket

import gevent

from features.support import platform_site
from features.support.soak import load
from features.support.soak import records
from features.support.soak import targets

LARGE_BODY_BYTES = 80000
LARGE_PART = 0.25
# Of the large bodies, those that are written in two halves.
HALVES_PART = 0.5
PAUSE_SECONDS = (0.05, 1.0)
RAMP_SECONDS = 1.5
# Some connections stay idle, so that requests come at any time of a stop.
IDLE_SECONDS = (0.0, 9.0)
# Some callers read late, with a small buffer.
SLOW_PART = 0.25
SLOW_START_SECONDS = 0.7
SLOW_BUFFER_BYTES = 4096


@dataclasses.dataclass(frozen=True)
class Kind:
    """The requests of one route.

    ``deadlines`` are the shortest and the longest in seconds; ``lengths``
    are those of streams, as parts of the deadline.
    """

    share: int
    deadlines: tuple
    lengths: tuple
    route: dict


STREAM = {'route_type': 'streaming', 'timeout_ms': 12000}
REPEATED = {'route_type': 'idempotent', 'max_attempts': 2}
TWICE = STREAM | {'max_attempts': 2}
SHORT = (1.5, 4.0)
# The deadlines and objectives of the platform's sheets.
KINDS = {
    'quality': Kind(
        5, (6.0, 6.0), (0.02, 0.5), TWICE | {'target_latency_ms': 1500}
    ),
    'batch': Kind(
        3, (12.0, 12.0), (0.1, 1.1), STREAM | {'target_latency_ms': 7000}
    ),
    'resume': Kind(3, (1.5, 12.0), (0.05, 1.2), TWICE | {'stream_resume': 1}),
    'stream': Kind(2, (1.5, 6.0), (0.05, 1.2), STREAM),
    'safe': Kind(3, SHORT, (), REPEATED),
    'once': Kind(3, SHORT, (), {'route_type': 'non_idempotent'}),
    'slow': Kind(2, (3.0, 8.0), (), REPEATED | {'service': 'other-1'}),
    'long': Kind(2, SHORT, (), REPEATED | {'service': 'other-2'}),
    'open': Kind(1, SHORT, (), REPEATED | {'public': True}),
}


class Callers(load.Callers):
    """Use each connection until it closes or an answer says that it will.

    :param idle_part: the share of requests before which it stays idle.
    """

    def __init__(self, site, rng, idle_part):
        super().__init__(site, rng, leaving_part=0.0)
        self._idle_part = idle_part

    def _work(self):
        # All at once they would delay the soak itself.
        gevent.sleep(self._rng.uniform(0, RAMP_SECONDS))
        super()._work()

    def _take_up(self, first):
        """Leave a stream that broke up; each request is judged by itself."""

    def attempt(self, line, gateway, is_reused=False, route=None):
        """Send one request and wait for its answer."""
        rng = self._rng
        if not is_reused:
            line.pid = gateway.pid
        elif rng.random() < self._idle_part:
            # It comes late in a stop, before any answer has said so.
            gevent.sleep(rng.uniform(*IDLE_SECONDS))
        shares = [kind.share for kind in KINDS.values()]
        name, kind = rng.choices(list(KINDS.items()), shares)[0]
        seconds = round(rng.uniform(*kind.deadlines), 3)
        attempt = records.Attempt(
            id=self._site.new_id(),
            route=name,
            key='' if name == 'open' else platform_site.KEY,
            gateway=gateway.name,
            pid=line.pid,
            sent_at=records.now(),
            seconds=seconds,
        )
        if kind.lengths:
            length = rng.uniform(*kind.lengths) * seconds
            attempt.wanted = max(2, round(length / self._site.gap))
        self._site.ledger.attempts_by_id[attempt.id] = attempt
        try:
            self._exchange(attempt, line)
        except (OSError, http.client.HTTPException):
            pass  # It ended without an answer or within one.
        # A request that the end of the run ends is not judged.
        attempt.ended_at = records.now()
        return attempt

    def _exchange(self, attempt, line):
        line.sock.settimeout(attempt.seconds + load.PATIENCE_SECONDS)
        is_slow = self._rng.random() < SLOW_PART
        if is_slow:
            option = socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES
            line.sock.setsockopt(*option)
        body, headers = b'question', {}
        if self._rng.random() < LARGE_PART:
            body = b'q' * self._rng.randint(2, LARGE_BODY_BYTES)
            headers = {'Content-Length': str(len(body))}
            if self._rng.random() < HALVES_PART:
                body = _halves(body, self._rng.uniform(*PAUSE_SECONDS))
        if attempt.wanted:
            tokens = attempt.wanted * targets.TOKENS_PER_EVENT
            headers['Kingcupfront-Token-Usage'] = f'1000,{tokens}'
        self._site.send(
            line,
            attempt.route,
            attempt=attempt.id,
            key=attempt.key or None,
            deadline_ms=int(attempt.seconds * 1000),
            body=body,
            headers=headers,
        )
        attempt.last_byte_at = records.now()
        # The end of a connection is seen at once, also by a slow reader.
        if is_slow and line.sock.recv(1, socket.MSG_PEEK):
            gevent.sleep(SLOW_START_SECONDS)
        answer = platform_site.read(line)
        attempt.status, attempt.headers = answer.status, answer.headers
        attempt.body, attempt.is_whole = (
            answer.body,
            _is_whole(answer, attempt),
        )


def _halves(body, pause):
    middle = len(body) // 2
    yield body[:middle]
    gevent.sleep(pause)
    yield body[middle:]


def _is_whole(answer, attempt):
    length = answer.headers.get('content-length')
    if length is not None:
        # The end of the connection ends the reading too.
        return len(answer.body) == int(length)
    found = len(platform_site.numbers(answer.body))
    return answer.is_whole and found == attempt.wanted
