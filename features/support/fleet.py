"""Starts entries and stand-ins as separate processes on loopback."""

import contextlib
import functools
import hashlib
import json
import os
import pathlib
import re
import secrets
import signal
import subprocess
import sys
import tempfile
import time

import urllib3

START_SECONDS = 30
# Ports are taken and let go, so a caller of one run may reach an entry of
# another that runs beside it; only keys of its own make that show.
KEY = f'test-key-{secrets.token_hex(8)}'
SECRET = f'shared-secret-for-tests-{secrets.token_hex(8)}'
HTTP = urllib3.PoolManager(retries=False, maxsize=64)


class Process:
    """One process of the program; its log goes to a file."""

    def __init__(self, *arguments):
        self.log = tempfile.NamedTemporaryFile(suffix='.log')
        self.popen = subprocess.Popen(
            [sys.executable, '-m', 'kingcupfront_cli', *arguments],
            stdout=self.log,
            stderr=self.log,
            env=os.environ.copy(),
        )

    def text(self):
        return pathlib.Path(self.log.name).read_text()

    def wait_for(self, pattern):
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            found = re.search(pattern, self.text())
            if found:
                return found
            if self.popen.poll() is not None:
                break
            time.sleep(0.02)
        raise AssertionError(f'{pattern!r} not in log:\n{self.text()}')

    def kill(self, number=signal.SIGKILL):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def pause(self):
        """Stop the process until SIGCONT, and wait until it has stopped."""
        self.kill(signal.SIGSTOP)
        until(lambda: self.is_paused, 'the process has stopped')

    @property
    def is_paused(self):
        """Whether no thread of the process runs until SIGCONT."""
        rows = pathlib.Path(f'/proc/{self.popen.pid}/task').glob('*/stat')
        states = [
            row.read_text().rpartition(')')[2].split()[0] for row in rows
        ]
        return set(states) == {'T'}

    def close(self):
        self.kill(signal.SIGCONT)
        self.kill()
        self.popen.wait()
        self.log.close()


class Standin(Process):
    """A stand-in process and its address."""

    def __init__(self, *arguments):
        super().__init__('standin', *arguments)

    @functools.cached_property
    def address(self):
        return self.wait_for(r'listening=(\S+)').group(1)

    @property
    def url(self):
        return f'http://{self.address}'

    def faults(self, **values):
        post(f'{self.url}/faults', values)

    def executions(self):
        return get(f'{self.url}/executions')['executions']


class Entry(Process):
    """An entry process and its addresses."""

    def __init__(self, settings):
        self.folder = tempfile.TemporaryDirectory()
        path = pathlib.Path(self.folder.name, 'settings.json')
        path.write_text(json.dumps(settings))
        super().__init__('entry', str(path))

    @functools.cached_property
    def _bound(self):
        found = self.wait_for(
            r'event=entry_started.* callers=(\S+) administration=(\S+) '
            r'peers=(\S+)'
        )
        return found.groups()

    @property
    def callers(self):
        return self._bound[0]

    @property
    def admin(self):
        return self._bound[1]

    @property
    def peers(self):
        return self._bound[2]

    @property
    def url(self):
        return f'http://{self.callers}'

    @property
    def admin_url(self):
        return f'http://{self.admin}'

    def dump(self):
        return get(f'{self.admin_url}/dump')

    def close(self):
        super().close()
        self.folder.cleanup()


class Fleet:
    """A platform stand-in, targets and entries that share a secret."""

    def __init__(self, secret=SECRET):
        self.secret = secret
        self.stack = contextlib.ExitStack()
        self.platform = self.start(Standin, 'platform')
        self.entries = []
        self.revision = 0

    def start(self, kind, *arguments):
        return self.stack.enter_context(contextlib.closing(kind(*arguments)))

    def launch(self, entries=3, engines=1, plains=1):
        """Start everything side by side, then register it."""
        started = [self.start(Standin, 'engine') for _ in range(engines)]
        plain = [self.start(Standin, 'plain') for _ in range(plains)]
        for _ in range(entries):
            self.add_entry(register=False)
        for target in started:
            self.enlist(target, 'assistant')
        for target in plain:
            self.enlist(target, 'register')
        for entry in self.entries:
            self.register(entry.name, entry.peers, 'kingcupfront')
        self.wait_ready()
        return started, plain

    def add_target(self, kind, service, name=None, **meta):
        target = self.start(Standin, kind)
        return self.enlist(target, service, name, **meta)

    def enlist(self, target, service, name=None, **meta):
        target.id = name or f'{service}-{target.popen.pid}'
        self.register(target.id, target.address, service, **meta)
        return target

    def register(self, instance, address, service, place='east', **meta):
        host, port = address.rsplit(':', 1)
        row = {
            'ID': instance,
            'Service': 'kingcupfront-instances',
            'Address': host,
            'Port': int(port),
            'Meta': {'service': service, 'place': place, **meta},
        }
        put(f'{self.platform.url}/v1/agent/service/register', row)

    def deregister(self, instance):
        put(f'{self.platform.url}/v1/agent/service/deregister/{instance}', {})

    def publish(self, objects, revision=None, based_on=None):
        based_on = self.revision if based_on is None else based_on
        self.revision = revision or self.revision + 1
        self.objects = objects
        value = {
            'revision': self.revision,
            'based_on': based_on,
            'objects': objects,
        }
        put(f'{self.platform.url}/v1/kv/kingcupfront/objects', value)

    def add_entry(self, name=None, register=True, **changes):
        name = name or f'entry-{len(self.entries) + 1}'
        listener = {'address': '127.0.0.1:0'}
        settings = {
            'instance': name,
            'place': 'east',
            'callers': listener,
            'administration': listener,
            'peers': listener,
            'platform': {
                'configuration': self.platform.address,
                'instances': self.platform.address,
            },
            'secrets': [self.secret],
            'drain_notice_seconds': 0.2,
        } | changes
        entry = self.start(Entry, settings)
        entry.name = name
        self.entries.append(entry)
        if register:
            self.register(name, entry.peers, 'kingcupfront')
        return entry

    def wait_ready(self):
        for entry in self.entries:
            until(lambda e=entry: ready(e), 'the entry is ready')
            until(
                lambda e=entry: e.dump()['targets'],
                'the entry knows a target',
            )

    def close(self):
        self.stack.close()


def ready(entry):
    return HTTP.request('GET', f'{entry.admin_url}/ready').status == 200


def until(condition, text, seconds=START_SECONDS):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError(f'not within {seconds} s: {text}')


def get(url):
    return json.loads(HTTP.request('GET', url).data)


def put(url, value):
    response = HTTP.request('PUT', url, body=json.dumps(value))
    assert response.status == 200, response.data


def post(url, value):
    response = HTTP.request('POST', url, body=json.dumps(value))
    assert response.status == 200, response.data


def ask(entry, path, body=None, method='POST', headers=None, **options):
    headers = {'Authorization': f'Bearer {KEY}'} | (headers or {})
    return HTTP.request(
        method,
        f'{entry.url}{path}',
        body=json.dumps(body) if body is not None else None,
        headers=headers,
        **options,
    )


def simple_objects(key=KEY):
    return [
        {'kind': 'place', 'name': 'east', 'region': 'one'},
        {'kind': 'model', 'name': 'assistant-model'},
        {
            'kind': 'service',
            'name': 'assistant',
            'type': 'model',
            'model': 'assistant-model',
        },
        {'kind': 'service', 'name': 'register', 'type': 'plain'},
        {
            'kind': 'team',
            'name': 'north',
            'key_hashes': [hashlib.sha256(key.encode()).hexdigest()],
            'services': ['assistant', 'register'],
        },
    ]
