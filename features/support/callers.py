"""Callers under steady load, and the records they keep."""

import dataclasses
import json
import random
import time

import gevent
import urllib3

from features.support import fleet

MAX_TRIES = 40
READ_SECONDS = 30
RETRY_SECONDS = 0.1
DONE = '[DONE]'


@dataclasses.dataclass
class Stream:
    """What one caller saw of one generation."""

    wanted: int
    texts: list = dataclasses.field(default_factory=list)
    end: str = 'open'
    lost_at: int | None = None
    status: int = 0
    resumes: int = 0
    last_id: str | None = None


@dataclasses.dataclass
class Action:
    """What one caller saw of one action."""

    id: str
    permit: bool
    outcomes: list = dataclasses.field(default_factory=list)
    echoes: list = dataclasses.field(default_factory=list)
    unanswered: int = 0


class Callers:
    """Sends streams and actions through random entries for a while."""

    def __init__(self, entries, seed):
        self.entries = entries
        self.streams = []
        self.actions = []
        self._rng = random.Random(seed)
        self._stop = False
        self._pool = urllib3.PoolManager(retries=False, maxsize=64)

    def run(self, seconds, streams=4, actions=3):
        """Return tasks that load the entries for a while."""
        end = time.monotonic() + seconds
        tasks = [gevent.spawn(self._stream_loop, end) for _ in range(streams)]
        tasks += [gevent.spawn(self._action_loop, end) for _ in range(actions)]
        return tasks

    def _entry(self):
        return self._rng.choice(self.entries)

    def _stream_loop(self, end):
        while time.monotonic() < end:
            self._stream(Stream(self._rng.randint(20, 80)))

    def _stream(self, record):
        self.streams.append(record)
        body = {
            'model': 'assistant',
            'messages': [{'role': 'user', 'content': 'hello'}],
            'max_tokens': record.wanted,
            'stream': True,
        }
        for _ in range(MAX_TRIES):
            try:
                self._read(record, body)
            except (urllib3.exceptions.HTTPError, OSError):
                pass
            if record.end != 'open':
                return
            if record.last_id is None:
                record.end = 'unanswered'
                return
            record.resumes += 1
            gevent.sleep(RETRY_SECONDS)

    def _read(self, record, body):
        headers = {'Authorization': f'Bearer {fleet.KEY}'}
        method, path, data = 'POST', '/v1/chat/completions', json.dumps(body)
        if record.last_id:
            headers['Last-Event-ID'] = record.last_id
            method, path, data = 'GET', '/v1/streams', None
        response = self._pool.request(
            method,
            self._entry().url + path,
            body=data,
            headers=headers,
            preload_content=False,
            timeout=urllib3.Timeout(connect=2, read=READ_SECONDS),
        )
        try:
            if response.status != 200:
                self._refused(record, response)
            else:
                self._events(record, response)
        finally:
            response.close()

    def _refused(self, record, response):
        outcome = response.headers.get('Kingcupfront-Outcome', '')
        record.status = response.status
        if record.last_id is None or outcome == 'lost':
            record.end = outcome or f'status {response.status}'
            body = json.loads(response.read() or b'{}')
            record.lost_at = body.get('error', {}).get('delivered')

    def _events(self, record, response):
        rest = b''
        while data := response.read1(65536):
            *blocks, rest = (rest + data).split(b'\n\n')
            for block in blocks:
                fields = _fields(block.decode())
                if fields.get('event') == 'error':
                    error = json.loads(fields['data'])['error']
                    record.end = error['code']
                    record.lost_at = error.get('delivered')
                    return
                if fields.get('data') == DONE:
                    record.end = 'done'
                    return
                if 'data' in fields and 'id' in fields:
                    row = json.loads(fields['data'])
                    text = row['choices'][0]['delta'].get('content') or ''
                    record.texts.append(text.strip())
                    record.last_id = fields['id']

    def _action_loop(self, end):
        while time.monotonic() < end:
            number = self._rng.getrandbits(48)
            self._act(Action(f'action-{number}', self._rng.random() < 0.7))
            gevent.sleep(0.02)

    def _act(self, record):
        self.actions.append(record)
        headers = {}
        if record.permit:
            permit = self._permit()
            if permit is None:
                return
            headers['Idempotency-Key'] = permit
        for _ in range(MAX_TRIES if record.permit else 1):
            entry = self._entry()
            try:
                response = fleet.ask(
                    entry,
                    '/services/register/lots',
                    {'id': record.id},
                    headers=headers,
                    timeout=urllib3.Timeout(connect=2, read=READ_SECONDS),
                )
            except (urllib3.exceptions.HTTPError, OSError):
                record.unanswered += 1
                gevent.sleep(RETRY_SECONDS)
                continue
            if response.status == 401 and entry.popen.poll() is not None:
                # An entry of another run has the port of one that ended.
                record.unanswered += 1
                continue
            record.outcomes.append(
                response.headers.get('Kingcupfront-Outcome', '')
            )
            if record.outcomes[-1] == 'done':
                record.echoes.append(response.data.decode())
            return

    def _permit(self):
        for _ in range(MAX_TRIES):
            try:
                response = fleet.ask(
                    self._entry(), '/v1/permits', {'count': 1}, timeout=5
                )
            except (urllib3.exceptions.HTTPError, OSError):
                gevent.sleep(RETRY_SECONDS)
                continue
            if response.status == 200:
                return json.loads(response.data)['permits'][0]['key']
            gevent.sleep(RETRY_SECONDS)
        return None


def _fields(block):
    fields = {}
    for line in block.split('\n'):
        name, _, value = line.partition(':')
        fields[name] = value.removeprefix(' ')
    return fields
