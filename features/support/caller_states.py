"""States of callers' requests while something happens to a gateway.

Each function brings a request into a state and returns its caller, how many
responses are due, and what lets the request go on.
"""

import socket

import gevent
from gevent import event

from features.support import caller_lines
from features.support import platform_server
from kingcupfront_core import registry

LONG_ANSWER_BYTES = 600_000
LIMITS = {
    'max_header_bytes': 4096,
    'header_timeout_ms': 6000,
    'idle_timeout_ms': 6000,
}
HALF_BODY_BYTES = 3
HALF_HEAD_BYTES = 60
# Within it a request that was written in part is read.
READ_SECONDS = 0.15
SHORT_STREAM = 20, 0.01
LONG_STREAM = 40, 0.03
SLOW_STREAM = 3, 0.4
PLAIN_SERVICES = ('quick', 'held', 'padded')
ENGINE_SERVICES = ('absent', 'full', 'slow', 'long')

states = registry.Registry('state of a request')


class Scene:
    """A site with a service and a route for each state.

    :param site: it is not running yet.
    :param address: returns the host and port of the gateway.
    """

    def __init__(self, stack, site, address):
        self.stack = stack
        self.site = site
        self.address = address
        self.is_released = event.Event()
        self.callers = {}
        # Called with nothing when requests are to go on.
        self.continuations = []
        site.limits = dict(LIMITS)

    def add_plain_service(self, name):
        """Add a service and a route of its name, without targets."""
        self.site.services[name] = {'name': name, 'health_path': '/healthz'}
        self._add_route(name, route_type='idempotent')

    def add_engine_service(self, name, **more):
        template = self.site.services['engine']
        self.site.services[name] = template | {
            'name': name,
            'engine': dict(template['engine']),
        }
        self._add_route(name, route_type='streaming', **more)

    def _add_route(self, name, **more):
        self.site.add_route(
            name,
            **{
                'service': name,
                'timeout_ms': caller_lines.DEADLINE_MS,
                'target_latency_ms': 4000,
                'max_attempts': 1,
            }
            | more,
        )

    def add_plain(self, service, name=''):
        server = platform_server.Server(f't-{service}{name}', service=service)
        return self._list(server)

    def add_engine(self, service, name=''):
        engine = platform_server.Engine(f't-{service}{name}', self.site.copies)
        engine.service = service
        return self._list(engine)

    def _list(self, server):
        server.serve(self.stack)
        self.site.targets[server.id] = server
        self.site.store.put(f'servers/{server.id}', server.entry())
        return server

    def target(self, service):
        return self.site.targets[f't-{service}']

    def open(self):
        return caller_lines.Caller(self.stack, self.address())

    def wait_until(self, condition):
        self.site.wait_until(condition)

    def bring_into(self, state):
        """Bring a caller's request into a state."""
        self.add_request(state, states.get(state)(self))

    def add_request(self, state, brought):
        """Note a request that was brought into a state.

        :param brought: what a function of ``states`` returns.
        """
        caller, count, go_on = brought
        self.callers[state] = caller, count
        if go_on is not None:
            self.continuations.append(go_on)

    def go_on(self):
        """Let all requests go on."""
        self.is_released.set()
        for go_on in self.continuations:
            go_on()

    def read_all(self):
        """Return what each caller got, by state, as words."""
        tasks = {
            state: gevent.spawn(_read, caller, count)
            for state, (caller, count) in self.callers.items()
        }
        gevent.joinall(
            list(tasks.values()), timeout=caller_lines.WAIT_SECONDS * 2
        )
        return {state: task.value for state, task in tasks.items()}


def _read(caller, count):
    return ' '.join(caller.read().summary for _ in range(count))


def add_services(scene):
    """Add a service for each state to a site that is not running yet."""
    for name in PLAIN_SERVICES:
        scene.add_plain_service(name)
        scene.add_plain(name)
    scene.target('held').released = scene.is_released
    scene.target('padded').answer_padding = b'x' * LONG_ANSWER_BYTES
    for name in ENGINE_SERVICES:
        scene.add_engine_service(name)
        if name != 'absent':
            scene.add_engine(name)
    scene.target('full').is_full = True
    scene.target('full').events, scene.target('full').gap = SHORT_STREAM
    scene.target('slow').events, scene.target('slow').gap = SLOW_STREAM
    scene.target('long').events, scene.target('long').gap = LONG_STREAM


@states.register('head read in part')
def head_in_part(scene):
    return _in_part(scene, HALF_HEAD_BYTES)


@states.register('body read in part')
def body_in_part(scene):
    return _in_part(scene, -HALF_BODY_BYTES)


def _in_part(scene, size):
    caller, data = scene.open(), caller_lines.request(scene.site, 'quick')
    caller.send(data[:size])
    return caller, 1, lambda: caller.send(data[size:])


@states.register('waiting for a target')
def waiting_for_target(scene):
    caller = scene.open()
    caller.send(caller_lines.request(scene.site, 'absent'))
    return caller, 1, lambda: scene.add_engine('absent')


@states.register('waiting for room')
def waiting_for_room(scene):
    caller, engine = scene.open(), scene.target('full')
    caller.send(caller_lines.request(scene.site, 'full'))
    scene.wait_until(lambda: engine.leases)

    def make_room():
        engine.is_full = False

    return caller, 1, make_room


@states.register('sent, no head back')
def sent(scene):
    caller, target = scene.open(), scene.target('held')
    before = target.waiting
    caller.send(caller_lines.request(scene.site, 'held'))
    scene.wait_until(lambda: target.waiting > before)
    return caller, 1, None


@states.register('head passed on')
def head_passed_on(scene):
    return _begun(scene, 'slow')


@states.register('stream in the middle')
def in_the_middle(scene):
    return _begun(scene, 'long')


def _begun(scene, route):
    caller = scene.open()
    caller.send(caller_lines.request(scene.site, route))
    assert caller.sock.recv(1, socket.MSG_PEEK), 'the stream has not begun'
    return caller, 1, None


@states.register('complete, read slowly')
def read_slowly(scene):
    caller = scene.open()
    caller.send(caller_lines.request(scene.site, 'padded'))
    scene.wait_until(lambda: scene.target('padded').has_succeeded)
    return caller, 1, None


@states.register('sent ahead')
def sent_ahead(scene):
    caller, target = scene.open(), scene.target('held')
    before = target.waiting
    first = caller_lines.request(scene.site, 'held')
    caller.send(first + caller_lines.request(scene.site, 'quick'))
    scene.wait_until(lambda: target.waiting > before)
    return caller, 2, None


@states.register('idle, used again')
def idle(scene):
    caller = scene.open()
    caller.send(caller_lines.request(scene.site, 'quick'))
    found = caller.read()
    assert found.status == 200, found
    return (
        caller,
        1,
        lambda: caller.send(caller_lines.request(scene.site, 'quick')),
    )
