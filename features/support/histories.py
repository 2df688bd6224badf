"""Entries in one process, joined by a link that can fail at any step."""

import types

import gevent

from kingcupfront_config import instance_list
from kingcupfront_core import address
from kingcupfront_core import clock
from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_core import registry
from kingcupfront_entry import claims
from kingcupfront_entry import forwarding
from kingcupfront_entry import known_entries
from kingcupfront_entry import messages
from kingcupfront_entry import owner
from kingcupfront_once import call
from kingcupfront_once import permit
from kingcupfront_peer import codec
from kingcupfront_peer import errors as peer_errors

ENTRIES = 3
CALL_SECONDS = 0.4
LIFETIME_SECONDS = 30.0
SETTLED_SECONDS = 100.0


class Link:
    """Calls handlers of other entries, unless the way is cut."""

    def __init__(self, world, number):
        self.incarnation = world.next_incarnation()
        self.handlers = registry.Registry('message kind')
        self.address = world.address(number)
        self.world, self.number = world, number

    def call(self, peer, kind, body, timeout_seconds):
        world = self.world
        gevent.sleep(0)
        other = world.entries[peer.port]
        if (self.number, peer.port) in world.cuts:
            self._fail(sent=False)
        message = codec.Message(f'e{self.number}', self.incarnation, 1, kind)
        message = types.SimpleNamespace(**vars(message) | {'body': body})
        task = other.spawn(other.link.handlers.get(kind), message)
        task.join()
        gevent.sleep(0)
        if not task.successful() or isinstance(task.value, BaseException):
            self._fail(sent=True)
        if (peer.port, self.number) in world.cuts:
            self._fail(sent=True)
        return types.SimpleNamespace(body=task.value)

    def _fail(self, sent):
        self.world.clock.advance(CALL_SECONDS)
        raise peer_errors.PeerError('cut', sent=sent)


class Entry:
    """The deciding parts of one entry, without its listeners."""

    def __init__(self, world, number):
        self.world = world
        self.link = Link(world, number)
        self.tasks = []
        process = types.SimpleNamespace(
            settings=types.SimpleNamespace(
                instance=f'e{number}', secret_values=['secret']
            ),
            clock=world.clock,
            link=self.link,
            instances=world.rows,
        )
        known = known_entries.KnownEntries(process)
        self.owner = owner.KeyOwner(process, self, known)
        self.claims = claims.ClaimCoordinator(process, self, self.owner, known)
        self.forwarding = forwarding.Forwarder(
            process, self.owner, self.claims
        )

    def run(self, work, check):
        """Stand in for the runner of calls; a target that counts."""
        gevent.sleep(0)
        check()
        self.world.runs.append(work.body)
        gevent.sleep(0)
        return call.Result(outcomes.Outcome.DONE, 200)

    def spawn(self, function, *arguments):
        task = gevent.spawn(function, *arguments)
        self.tasks.append(task)
        return task

    def kill(self):
        gevent.killall(self.tasks)


class World:
    """Entries, keys, and the answers that callers got."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.cuts = set()
        self.runs = []
        self.answers = []
        self.keys = []
        self._incarnation = 0
        self.rows = tuple(
            instance_list.Instance(
                f'e{n}', 'kingcupfront', 'east', self.address(n)
            )
            for n in range(ENTRIES)
        )
        self.entries = [Entry(self, n) for n in range(ENTRIES)]
        self.clock.advance(SETTLED_SECONDS)
        self._permits = permit.Permits(['secret'])

    def address(self, number):
        return address.Address('127.0.0.1', number)

    def next_incarnation(self):
        self._incarnation += 1
        return self._incarnation

    def permit(self, number):
        item = self.entries[number].owner.issue('north', '', LIFETIME_SECONDS)
        self.keys.append(self._permits.write(item))

    def own_key(self, number):
        self.keys.append(f't={self.clock.wall():.3f};{len(self.keys)}')

    def send(self, number, key):
        if self.keys:
            index = key % len(self.keys)
            self.entries[number].spawn(self._send, number, index)

    def _send(self, number, index):
        work = call.Call(
            'register',
            'north',
            'POST',
            '/lots',
            body=b'%d' % index,
            timeout_seconds=2.0,
        )
        entry = self.entries[number]
        try:
            result = entry.forwarding.run(self.keys[index], work, False)
            outcome = result.outcome
        except core_errors.KingcupfrontError as error:
            outcome = messages.outcome_of(error)
        self.answers.append((index, str(outcome)))

    def kill(self, number):
        self.entries[number].kill()
        self.entries[number] = Entry(self, number)

    def kill_all(self):
        for number in range(ENTRIES):
            self.kill(number)

    def cut(self, number, other):
        self.cuts ^= {(number, other)}

    def advance(self, seconds):
        self.clock.advance(seconds)

    def step(self, count):
        for _ in range(count):
            gevent.sleep(0)

    def finish(self):
        self.cuts.clear()
        for entry in self.entries:
            gevent.joinall(entry.tasks)
            assert not [t for t in entry.tasks if t.exception], entry.tasks

    def check(self):
        """Return the outcomes after a check that they are true."""
        runs = [self.runs.count(b'%d' % n) for n in range(len(self.keys))]
        assert all(count <= 1 for count in runs), runs
        for index, outcome in self.answers:
            assert outcome != 'done' or runs[index] == 1, self.answers
            assert outcome != 'not_run' or runs[index] == 0, self.answers
        return [outcome for _, outcome in self.answers]
