"""A fleet for actions: entries, one of them behind a relay."""

import contextlib
import hashlib
import json
import time

import gevent

from features.support import fleet
from features.support import relay

OTHER_KEY = 'other-key'
SKEW_SECONDS = 4.9


class Actions:
    """Sends actions and keeps what the callers saw.

    Entry 1 is reached by its peers through a relay; the others directly.
    """

    def __init__(self):
        self.fleet = fleet.Fleet()
        self.stack = contextlib.ExitStack()
        self.fleet.publish(objects())
        (self.engine,), (self.plain,) = self.fleet.launch()
        self.fleet.enlist(self.plain, 'desk', 'desk-1')
        first = self.fleet.entries[0]
        self.relay = self.stack.enter_context(
            contextlib.closing(relay.Relay(first.peers))
        )
        self.fleet.register(first.name, self.relay.address, 'kingcupfront')
        fleet.until(
            lambda: own_address(first) == self.relay.address,
            'entry 1 knows its relay',
        )
        self.bodies = 0

    def close(self):
        self.stack.close()
        self.fleet.close()

    def heal(self):
        """Undo the faults, so that the next scenario may start."""
        self.relay.heal()
        self.plain.faults(
            refuse=False, gateway=False, hold=False, die=False, delay_seconds=0
        )
        for number, entry in enumerate(self.fleet.entries):
            if entry.popen.poll() is not None:
                self.restart(number)

    def restart(self, number, **changes):
        """Start an entry again, at the same addresses."""
        old = self.fleet.entries[number]
        old.close()
        new = self.fleet.add_entry(
            old.name,
            register=False,
            peers={'address': old.peers},
            **changes,
        )
        self.fleet.entries.remove(new)
        self.fleet.entries[number] = new
        self.fleet.wait_ready()
        self.settled(new)
        return new

    def settled(self, entry):
        """Wait until an entry has read where its peers reach it."""
        wanted = entry.peers
        if entry.name == 'entry-1':
            wanted = self.relay.address
        fleet.until(lambda: own_address(entry) == wanted, 'it is listed')
        fleet.until(
            lambda: len(entry.dump()['parts']['claims']['members']) >= 3,
            'it knows the others',
        )

    def permits(self, entry, count=1, status=200, **order):
        response = fleet.ask(entry, '/v1/permits', {'count': count} | order)
        assert response.status == status, response.data
        if status != 200:
            return response
        return [p['key'] for p in json.loads(response.data)['permits']]

    def body(self):
        """Return a body that no other action has."""
        self.bodies += 1
        return {'lot': self.bodies}

    def act(self, entry, key, body, service='register', **options):
        headers = {'Idempotency-Key': key} if key else {}
        headers |= options.pop('headers', {})
        path = options.pop('path', 'lots')
        return fleet.ask(
            entry,
            f'/services/{service}/{path}',
            body,
            headers=headers,
            timeout=60,
            **options,
        )

    def begin(self, *arguments, **options):
        """Send an action from a task of its own."""
        return gevent.spawn(self.act, *arguments, **options)

    def runs(self, body):
        text = json.dumps(body)
        return sum(e['body'] == text for e in self.plain.executions())

    def started(self, body):
        """Wait until the service has begun to run an action."""
        fleet.until(lambda: self.runs(body), 'the action has begun')


def own_address(entry):
    return entry.dump()['parts']['keys']['address']


def own_key(age_seconds=0.0):
    """Return a caller's key; it may be used from now on, less the skew."""
    made = time.time() + SKEW_SECONDS - age_seconds
    return f't={made:.3f};{time.monotonic_ns()}'


def outcome(response):
    return response.headers['Kingcupfront-Outcome']


def code(response):
    try:
        return json.loads(response.data)['error']['code']
    except (ValueError, LookupError, TypeError):
        return ''


def objects():
    north = fleet.simple_objects()
    desk = {
        'kind': 'service',
        'name': 'desk',
        'type': 'plain',
        'timeout_seconds': 1.0,
    }
    north[-1]['services'].append('desk')
    south = north[-1] | {
        'name': 'south',
        'key_hashes': [hashlib.sha256(OTHER_KEY.encode()).hexdigest()],
    }
    return [*north, desk, south]
