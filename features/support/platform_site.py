"""A gateway on stand-ins of the platform, in one process."""

import contextlib
import dataclasses
import http.client
import itertools
import json

import gevent

from features.support import loopback
from features.support import platform_server
from features.support import platform_store
from features.support import relay
from kingcupfront_core import address
from kingcupfront_gateway import adapter
from kingcupfront_gateway import process
from kingcupfront_platform import dialect

HOST = 'site.example'
KEY = 'key-of-north'
WAIT_SECONDS = 10
PORT = 8740
ROUTES = {
    'safe': {'route_type': 'idempotent', 'max_attempts': 2},
    'once': {'route_type': 'non_idempotent', 'max_attempts': 1},
    'stream': {'route_type': 'streaming', 'max_attempts': 1},
    'resume': {
        'route_type': 'streaming',
        'max_attempts': 2,
        'stream_resume': True,
    },
}


@dataclasses.dataclass
class Answer:
    """What a caller got; ``status`` is 0 if the connection broke."""

    status: int
    headers: dict
    body: bytes
    is_whole: bool


class Dialect(dialect.PlatformAdapter):
    """The platform's adapter with settings of the test."""

    def __init__(self, settings):
        self._settings = settings

    def settings(self):
        return self._settings


class Site:
    """A store, targets and a gateway.

    :param stack: what is started ends with it.
    """

    def __init__(self, stack):
        self.stack = stack
        self.store = platform_store.Store()
        self.store_address = self.store.serve(stack)
        self.targets = {}
        self.copies = {}
        self.offers_backups = True
        self.supports_moves = True
        self.max_body_bytes = 100000
        self.limits = {
            'max_header_bytes': 4096,
            'header_timeout_ms': 1000,
            'idle_timeout_ms': 5000,
        }
        self.version = 1
        self.routes = {}
        self.services = {
            'plain': {'name': 'plain', 'health_path': '/healthz'},
            'engine': self._engine_service('engine'),
        }
        self.keys = {'north': [KEY]}
        self.team_regions = []
        self.retry_ratio = 0.2
        self.regions_by_zone = {'zone-a': 'r-a', 'zone-b': 'r-b'}
        self.gateway = None
        self.settings = None
        self._ids = itertools.count(1)
        for name, kind in ROUTES.items():
            self.add_route(name, **kind)

    def add_route(self, name, **more):
        is_stream = more.get('route_type') == 'streaming'
        self.routes[name] = {
            'name': name,
            'host': HOST,
            'prefix': f'/{name}/',
            'timeout_ms': 4000,
            'target_latency_ms': 1000,
            'priority': 1,
            'service': 'engine' if is_stream else 'plain',
            'public': False,
        } | more

    def _engine_service(self, name):
        return {
            'name': name,
            'engine': {
                'slots': 24,
                'kv_capacity': 30000,
                'stride': 4,
                'moves': self.supports_moves,
                'backups': self.offers_backups,
                'hold_ms': 2000,
            },
        }

    def configuration(self):
        for service in self.services.values():
            if 'engine' in service:
                service['engine']['backups'] = self.offers_backups
                service['engine']['moves'] = self.supports_moves
        return {
            'version': self.version,
            'routes': list(self.routes.values()),
            'services': list(self.services.values()),
            'limits': {'max_body_bytes': self.max_body_bytes} | self.limits,
            'tenants': [
                {
                    'name': name,
                    'api_keys': keys,
                    'priority': 1,
                    'allowed_regions': self.team_regions,
                }
                for name, keys in self.keys.items()
            ],
        }

    def publish(self, version=None):
        self.version = self.version + 1 if version is None else version
        self.store.put('op/config', self.configuration())

    def add_plain(self, name, **more):
        server = platform_server.Server(name, **more).serve(self.stack)
        return self._list(server)

    def add_engine(self, name, *, entry=None, port=0, is_listed=True, **more):
        """Start and list an engine.

        :param entry: fields of its entry that differ from what it is.
        :param is_listed: whether its entry is written.
        """
        server = platform_server.Engine(name, self.copies, **more)
        server.serve(self.stack, port)
        if is_listed:
            return self._list(server, **entry or {})
        self.targets[name] = server
        return server

    def _list(self, server, **entry):
        self.targets[server.id] = server
        self.store.put(f'servers/{server.id}', server.entry(**entry))
        return server

    def restart(self, engine, seconds):
        """Start an engine that has crashed again, under another id."""
        self.store.delete(f'servers/{engine.id}')
        gevent.sleep(seconds)
        del self.targets[engine.id]
        again = self.add_engine(f'{engine.id}x', zone=engine.zone)
        for name in ('events', 'gap', 'prefill', 'crashing_part', 'on_crash'):
            setattr(again, name, getattr(engine, name))

    def drain(self, name):
        server = self.targets[name]
        server.is_draining = True
        self.store.put(f'servers/{name}', server.entry())

    def start(self, revocation=5.0, **more):
        """Publish and start the gateway, and wait until it is ready."""
        self.publish(self.version)
        self.settings = self._new_settings(revocation=revocation, **more)
        self.gateway = self.stack.enter_context(
            process.running(Dialect(self.settings), self.settings)
        )
        self.wait_until(lambda: self.gateway.is_ready)

    def _new_settings(self, **more):
        return adapter.Settings(
            **{
                'instance': 'entry-1',
                'zone': 'zone-a',
                'regions_by_zone': self.regions_by_zone,
                'callers': _own_address(),
                'readiness': _own_address(),
                'metrics': None,
                'directory': address.Address.parse(self.store_address),
                'drain_grace': 8.0,
                'retry_ratio': self.retry_ratio,
                'retry_window': 10.0,
            }
            | more
        )

    def start_two(self):
        """Start two gateways that know one another."""
        return self.start_several(2)

    def start_several(self, count, zones=('zone-a',), seeds=None):
        """Start gateways that know one another.

        :param zones: their data centres, taken in turn.
        :param seeds: addresses in place of those of the first gateways.
        :returns: for each its process, its way to the store, and what ends
            it.
        """
        self.publish(self.version)
        addresses = [_own_address() for _ in range(count)]
        seeds = tuple(addresses[:3]) if seeds is None else seeds
        found = []
        for number, peers in enumerate(addresses, 1):
            path = relay.Relay(self.store_address)
            self.stack.callback(path.close)
            settings = self._new_settings(
                revocation=5.0,
                instance=f'entry-{number}',
                zone=zones[number % len(zones)],
                directory=address.Address.parse(path.address),
                peers=peers,
                seeds=seeds,
            )
            own = self.stack.enter_context(contextlib.ExitStack())
            running = own.enter_context(
                process.running(Dialect(settings), settings)
            )
            found.append((running, path, own.close))
        self.wait_until(lambda: all(g.is_ready for g, *_ in found))
        return found

    def start_again(self, settings):
        """Start a gateway with the settings of one that has ended."""
        return self.stack.enter_context(
            process.running(Dialect(settings), settings)
        )

    def wait_until(self, condition):
        with gevent.Timeout(WAIT_SECONDS):
            while not condition():
                gevent.sleep(0.01)

    def new_id(self):
        return f'attempt-{next(self._ids)}'

    @contextlib.contextmanager
    def connection(self, to=None):
        host, port = to or self.settings.callers
        line = http.client.HTTPConnection(host, port, timeout=WAIT_SECONDS)
        try:
            yield line
        finally:
            line.close()

    def ask(self, route, line=None, **more):
        """Send a request and read its answer."""
        with contextlib.ExitStack() as stack:
            if line is None:
                line = stack.enter_context(self.connection())
            self.send(line, route, **more)
            return read(line)

    def send(
        self,
        line,
        route,
        *,
        attempt=None,
        key=KEY,
        headers=(),
        body=b'question',
        method='POST',
        deadline_ms=4000,
        tokens='1000,200',
    ):
        fields = {
            'Host': HOST,
            'Kingcupfront-Attempt-Id': attempt or self.new_id(),
            'Kingcupfront-Deadline-Ms': str(deadline_ms),
        }
        if key is not None:
            fields['Authorization'] = f'Token {key}'
        if route in ('stream', 'resume'):
            fields['Kingcupfront-Token-Usage'] = tokens
        fields.update(headers)
        line.request(method, f'/{route}/2f', body, fields)


def read(line):
    try:
        response = line.getresponse()
    except (OSError, http.client.HTTPException):
        return Answer(0, {}, b'', False)
    body, is_whole = b'', False
    with contextlib.suppress(OSError, http.client.IncompleteRead):
        while data := response.read1(65536):
            body += data
        is_whole = True
    # At the end of a known length the response is not closed by itself.
    response.close()
    headers = {n.lower(): v for n, v in response.getheaders()}
    return Answer(response.status, headers, body, is_whole)


def read_raw(sock):
    """Read a response to a request that was written to a socket."""
    line = http.client.HTTPConnection('', timeout=WAIT_SECONDS)
    line.sock = sock.dup()
    # Otherwise it waits for a request to be sent through it.
    line._HTTPConnection__state = http.client._CS_REQ_SENT
    return read(line)


def _own_address():
    return address.Address(loopback.new_host(), PORT)


def numbers(body):
    """Return the numbers of the events of a stream."""
    return [
        int(line.removeprefix(b'id: '))
        for line in body.splitlines()
        if line.startswith(b'id: ')
    ]


def dump(site):
    """Return the state dump of the gateway."""
    with site.connection(site.settings.readiness) as line:
        line.request('GET', '/state')
        return json.loads(line.getresponse().read())
