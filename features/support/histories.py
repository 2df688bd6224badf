"""Simulated entries in one process, on a network that can fail at any step."""

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
FAILED_CALL_SECONDS = 0.4
LIFETIME_SECONDS = 30.0
UPTIME_SECONDS = 100.0


class SimulatedLink:
    """Calls the handlers of other entries, unless the network path is cut."""

    def __init__(self, world, number):
        self.incarnation = world.next_incarnation()
        self.handlers = registry.Registry('message kind')
        self.address = world.address(number)
        self.world, self.number = world, number

    def call(self, peer, kind, body, timeout_seconds):
        world = self.world
        gevent.sleep(0)
        other = world.entries[peer.port]
        if (self.number, peer.port) in world.cut_paths:
            self._fail(sent=False)
        message = codec.Message(f'e{self.number}', self.incarnation, 1, kind)
        message = types.SimpleNamespace(**vars(message) | {'body': body})
        task = other.spawn(other.link.handlers.get(kind), message)
        task.join()
        gevent.sleep(0)
        if not task.successful() or isinstance(task.value, BaseException):
            self._fail(sent=True)
        if (peer.port, self.number) in world.cut_paths:
            self._fail(sent=True)
        return types.SimpleNamespace(body=task.value)

    def _fail(self, sent):
        self.world.clock.advance(FAILED_CALL_SECONDS)
        raise peer_errors.PeerError('cut', sent=sent)


class SimulatedEntry:
    """The components of one entry that run calls, without its listeners."""

    def __init__(self, world, number):
        self.world = world
        self.link = SimulatedLink(world, number)
        self.tasks = []
        process = types.SimpleNamespace(
            settings=types.SimpleNamespace(
                instance=f'e{number}', secret_values=['secret']
            ),
            clock=world.clock,
            link=self.link,
            instances=world.instances,
            # These entries do not shut down.
            check_time_left=lambda seconds: None,
        )
        known_members = known_entries.KnownEntries(process)
        self.owner = owner.KeyOwner(process, self, known_members)
        self.claims = claims.ClaimCoordinator(
            process, self, self.owner, known_members
        )
        self.forwarding = forwarding.Forwarder(
            process, self.owner, self.claims
        )

    def run(self, request, check):
        """Run a call on a simulated target; replaces the executor of calls."""
        gevent.sleep(0)
        check()
        self.world.executed_bodies.append(request.body)
        gevent.sleep(0)
        return call.Result(outcomes.Outcome.DONE, 200)

    def spawn(self, function, *arguments):
        task = gevent.spawn(function, *arguments)
        self.tasks.append(task)
        return task

    def kill(self):
        gevent.killall(self.tasks)


class World:
    """The entries, the keys and the outcomes reported to callers."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.cut_paths = set()
        self.executed_bodies = []
        self.reported_outcomes = []
        self.keys = []
        self._incarnation = 0
        self.instances = tuple(
            instance_list.Instance(
                f'e{n}', 'kingcupfront', 'east', self.address(n)
            )
            for n in range(ENTRIES)
        )
        self.entries = [SimulatedEntry(self, n) for n in range(ENTRIES)]
        self.clock.advance(UPTIME_SECONDS)
        self._permits = permit.PermitCodec(['secret'])

    def address(self, number):
        return address.Address('127.0.0.1', number)

    def next_incarnation(self):
        self._incarnation += 1
        return self._incarnation

    def permit(self, number):
        issued_permit = self.entries[number].owner.issue(
            'north', '', LIFETIME_SECONDS
        )
        self.keys.append(self._permits.encode(issued_permit))

    def own_key(self, number):
        self.keys.append(f't={self.clock.wall():.3f};{len(self.keys)}')

    def send(self, number, key):
        if self.keys:
            index = key % len(self.keys)
            self.entries[number].spawn(self._send, number, index)

    def _send(self, number, index):
        request = call.Call(
            'register',
            'north',
            'POST',
            '/lots',
            body=b'%d' % index,
            timeout_seconds=2.0,
        )
        entry = self.entries[number]
        try:
            result = entry.forwarding.run(self.keys[index], request, False)
            outcome = result.outcome
        except core_errors.KingcupfrontError as error:
            outcome = messages.outcome_of(error)
        self.reported_outcomes.append((index, str(outcome)))

    def kill(self, number):
        self.entries[number].kill()
        self.entries[number] = SimulatedEntry(self, number)

    def kill_all(self):
        for number in range(ENTRIES):
            self.kill(number)

    def cut(self, number, other):
        self.cut_paths ^= {(number, other)}

    def advance(self, seconds):
        self.clock.advance(seconds)

    def step(self, count):
        for _ in range(count):
            gevent.sleep(0)

    def finish(self):
        self.cut_paths.clear()
        for entry in self.entries:
            gevent.joinall(entry.tasks)
            assert not [t for t in entry.tasks if t.exception], entry.tasks

    def check(self):
        """Check that all reported outcomes are true, and return them."""
        run_counts = [
            self.executed_bodies.count(b'%d' % n)
            for n in range(len(self.keys))
        ]
        assert all(count <= 1 for count in run_counts), run_counts
        for index, outcome in self.reported_outcomes:
            assert outcome != 'done' or run_counts[index] == 1, (
                self.reported_outcomes
            )
            assert outcome != 'not_run' or run_counts[index] == 0, (
                self.reported_outcomes
            )
        return [outcome for _, outcome in self.reported_outcomes]
