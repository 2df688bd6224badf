"""Callers that keep connections open until a process is gone."""

import contextlib
import http.client

import gevent

from features.support import platform_site
from features.support.soak import gateways
from features.support.soak import records
from features.support.soak import targets
from features.support.soak import world

# The parts of each route in the load.
SHARES = {
    'safe': 3,
    'once': 4,
    'stream': 3,
    'resume': 2,
    world.MOVING_ROUTE: 2,
    world.REGIONAL_ROUTE: 2,
}
STREAMS = ('stream', 'resume')
OTHER_KEY_PART = 0.15
THINK_SECONDS = 0.15
MAX_ON_A_LINE = 20
MAX_EVENTS = 100
# In which an unusual body is read; connections may be idle as long.
BODY_SECONDS = 5.0
PATIENCE_SECONDS = 2.0
# The sound parts of prompts, and how many have the one that crashes engines.
CASES = 8
# How often a stream is taken up, how many of those that callers left, and the
# pause before.
MAX_RESUMES = 3
RETURNING_SHARE = 0.7
# While callers lose connections, of streams that can be taken up, and how many
# requests ask for such streams.
LOST_SHARE = 0.7
LOST_ROUTE_SHARE = 0.4
RESUME_PAUSE_SECONDS = (0.1, 0.5)
CRASHING_SHARE = 0.4


class Callers:
    """Sends requests through all gateways and records what comes back."""

    def __init__(self, site, rng, leaving_part):
        self._site = site
        self._leaving_part = leaving_part
        self._rng = rng
        self._old_keys = []

    def start(self, count):
        return [gevent.spawn(self._work) for _ in range(count)]

    def _work(self):
        while not self._site.is_over:
            gateway = self._rng.choice(self._site.candidates())
            with contextlib.suppress(OSError):
                self._use(gateway)
            gevent.sleep(THINK_SECONDS)

    def _use(self, gateway):
        """Send requests over one connection as long as it lasts."""
        to = gateway.ip, gateways.CALLERS_PORT
        with self._site.connection(to) as line:
            line.connect()
            for number in range(self._rng.randint(1, MAX_ON_A_LINE)):
                attempt = self.attempt(line, gateway, number > 0)
                if attempt.route == 'resume' and not attempt.is_whole:
                    self._take_up(attempt)
                answers_on = attempt.headers.get('connection') != 'close'
                if self._site.is_over or not attempt.is_whole:
                    return
                if not answers_on or attempt.left_at:
                    return
                gevent.sleep(self._rng.uniform(0, 2 * THINK_SECONDS))

    def _take_up(self, first):
        """Take a stream that broke up, at other gateways."""
        last = first
        for _ in range(MAX_RESUMES):
            after = last.last_event
            is_over = last.is_whole and last.status == 200
            if is_over or not 0 < after < first.wanted or self._site.is_over:
                return
            is_back = self._site.losing or (
                self._rng.random() < RETURNING_SHARE
            )
            if last.left_at and not is_back:
                return
            gevent.sleep(self._rng.uniform(*RESUME_PAUSE_SECONDS))
            known = self._site.candidates()
            others = [g for g in known if g.name != last.gateway]
            gateway = self._rng.choice(others or known)
            to = gateway.ip, gateways.CALLERS_PORT
            with (
                contextlib.suppress(OSError),
                self._site.connection(to) as line,
            ):
                line.connect()
                last = self.attempt(line, gateway, taken_up=(first, after))

    def _key(self):
        """Return a key: now and then an extra one, also after its end."""
        extra = self._site.extra_keys
        self._old_keys += [k for k in extra if k not in self._old_keys]
        if self._old_keys and self._rng.random() < OTHER_KEY_PART:
            return self._rng.choice(self._old_keys[-4:])
        return platform_site.KEY

    def attempt(
        self, line, gateway, is_reused=False, route=None, taken_up=None
    ):
        """Send one request and wait for its answer.

        :param taken_up: the attempt that began a stream, and the last event
            that its caller has.
        """
        message = records.Message()
        if taken_up is not None:
            route = taken_up[0].route
        if self._site.unusual and route is None:
            route, message = 'safe', self._site.unusual.pop(0)
            # Not all of it may be read.
            is_reused = True
        drawn = self._rng.choices(list(SHARES), SHARES.values())[0]
        if self._site.losing and self._rng.random() < LOST_ROUTE_SHARE:
            drawn = 'resume'
        route = route or drawn
        seconds = (
            world.STREAM_TIMEOUT_SECONDS
            if route in STREAMS
            else world.PLAIN_TIMEOUT_SECONDS
        )
        if message.headers or message.deadline:
            seconds += BODY_SECONDS
        attempt = records.Attempt(
            id=self._site.new_id(),
            route=route,
            key=self._key(),
            gateway=gateway.name,
            pid=gateway.pid,
            sent_at=records.now(),
            seconds=seconds,
            wanted=self._rng.randint(2, MAX_EVENTS),
            message=message,
        )
        if attempt.route in STREAMS:
            attempt.parts = self._draw_parts()
        if taken_up is not None:
            first, attempt.after = taken_up
            attempt.resumes = first.id
            attempt.wanted, attempt.parts = first.wanted, first.parts
        self._site.ledger.attempts_by_id[attempt.id] = attempt
        leaver = None
        is_lost = self._site.losing and attempt.route == 'resume'
        # What is taken up is left like others.
        part = LOST_SHARE if is_lost and not taken_up else self._leaving_part
        if self._rng.random() < part:
            leaver = gevent.spawn_later(
                self._rng.uniform(0.05, 0.5), self._leave, attempt, line
            )
        try:
            self._exchange(attempt, line, is_reused)
        finally:
            attempt.ended_at = records.now()
            if leaver is not None:
                leaver.kill()
        return attempt

    def _draw_parts(self):
        parts = ('first', f'case-{self._rng.randrange(CASES)}')
        crashing = self._site.crashing_part
        if crashing and self._rng.random() < CRASHING_SHARE:
            parts += (crashing,)
        return parts

    def _leave(self, attempt, line):
        attempt.left_at = records.now()
        with contextlib.suppress(OSError):
            line.sock.shutdown(2)

    def _exchange(self, attempt, line, is_reused):
        line.sock.settimeout(attempt.seconds + PATIENCE_SECONDS)
        message = attempt.message
        deadline = message.deadline or attempt.seconds
        tokens = attempt.wanted * targets.TOKENS_PER_EVENT
        try:
            self._site.send(
                line,
                attempt.route,
                attempt=attempt.id,
                key=attempt.key,
                deadline_ms=int(deadline * 1000),
                tokens=f'1000,{tokens}',
                headers=_prompt_headers(attempt) | dict(message.headers),
                body=message.wire,
            )
        except (OSError, http.client.HTTPException):
            # An idle connection may close as a request is written.
            attempt.may_be_unread = is_reused
            return
        answer = platform_site.read(line)
        attempt.status = answer.status
        attempt.headers = answer.headers
        attempt.body = answer.body
        attempt.is_whole = answer.is_whole
        attempt.may_be_unread = is_reused and not answer.status


def _prompt_headers(attempt):
    if not attempt.parts:
        return {}
    parts = (*attempt.parts, f'own-{attempt.resumes or attempt.id}')
    headers = {'Kingcupfront-Prefix-Hash': ','.join(f'{p}:100' for p in parts)}
    if attempt.resumes:
        headers['Last-Event-Id'] = str(attempt.after)
        headers['Resumes'] = attempt.resumes
    return headers
