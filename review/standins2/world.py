"""Stand-ins for the cases of the second review, on the standard library.

A harness process holds the platform's store, the servers and the callers. The
gateways are processes of their own, started as the deploy file says.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import resource
import signal
import socket
import sys
import tempfile
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = 'site.example'
KEY = 'key-of-north'
HELD, BROKEN, UNABLE = 0, 1, 2
CALLERS_PORT, PEERS_PORT, READY_PORT = 8740, 8748, 8749
METRICS_PORT = 9464
SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge", "control"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
seeds = {seeds}
bootstrap = true
discovery = "platform"
entry_point = "vip"
heartbeat_ms = 1200
[zones]
zone-a = "region-a"
[listen]
frontend = "{ip}:8740"
readiness = "{ip}:8749"
control_plane = "{ip}:8748"
[limits]
cpu_quota = 0.537
cores = 2
memory_mb = {memory_mb}
file_descriptors = 4100
[bounds]
contact_ms = 4000
drain_ms = 2500
grace_s = 8
config_apply_ms = 2500
strict_revocation = true
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
budget_slack = 56
[platform]
address = "{store}"
form = "read"
reads_per_s = 2000
history_s = 20
"""


class UnableError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: str) -> None:
        self.path = pathlib.Path(path)
        self._file = self.path.open('w')
        self._start = time.monotonic()

    def note(self, text: str) -> None:
        seconds = time.monotonic() - self._start
        print(f'{seconds:8.3f} {text}', file=self._file, flush=True)

    def close(self) -> None:
        self._file.close()


async def read_message(reader: asyncio.StreamReader) -> tuple | None:
    """Return the first line, the fields and the body; None at the end."""
    line = await reader.readline()
    if not line.strip():
        return None
    fields = {}
    while (field := await reader.readline()).strip():
        name, _, value = field.decode('latin-1').partition(':')
        fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get('content-length', 0)))
    return line.decode('latin-1').split(), fields, body


def message(status: int, body: bytes = b'', **fields: dict) -> bytes:
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{n.replace("_", "-")}: {v}' for n, v in fields.items()]
    return '\r\n'.join([*lines, '', '']).encode() + body


class Listener:
    """Accepts connections at an address of its own."""

    def __init__(self) -> None:
        self.host, self.port = '127.0.0.1', 0
        self._server = None
        self._writers = set()

    @property
    def address(self) -> str:
        return f'{self.host}:{self.port}'

    async def open(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def shut(self) -> None:
        """End at once: nobody listens, and all connections break."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (got := await read_message(reader)) is not None:
                if not await self.answer(writer, *got):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass  # The other side has left.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(
        self,
        writer: asyncio.StreamWriter,
        line: list,
        fields: dict,
        body: bytes,
    ) -> bool:
        raise NotImplementedError


class Store(Listener):
    """The platform's metadata store."""

    def __init__(self, record: 'Record') -> None:
        super().__init__()
        self._record = record
        self.items, self.history = {}, []
        self.revision, self.era, self.oldest = 100, 0, 100
        self.is_away = False
        self._changed = asyncio.Condition()

    async def put(self, key: str, value: object) -> None:
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {
            'key': key,
            'value': text,
            'revision': self.revision,
            'created': self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self.history.append(item)
        await self._wake()

    async def delete(self, key: str) -> None:
        self.revision += 1
        self.items.pop(key, None)
        self.history.append(
            {'key': key, 'revision': self.revision, 'deleted': True}
        )
        await self._wake()

    def copy(self) -> tuple:
        return dict(self.items), list(self.history), self.revision

    async def restore(self, copied: tuple) -> None:
        """Go back to a copy; what was acknowledged since is lost."""
        items, history, self.revision = copied
        self.items, self.history = dict(items), list(history)
        self.era += 1
        await self._wake()

    async def _wake(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def answer(
        self,
        writer: asyncio.StreamWriter,
        line: list,
        fields: dict,
        body: bytes,
    ) -> bool:
        if self.is_away:
            writer.transport.abort()
            return False
        era = self.era
        url = parse.urlsplit(line[1])
        query = dict(parse.parse_qsl(url.query))
        status, found = 404, {}
        if url.path == '/v1/kv-range':
            status, found = 200, self._range(query)
        elif url.path == '/v1/kv-watch':
            status, found = await self._watch(query)
        if self.is_away or era != self.era:
            writer.transport.abort()
            return False
        writer.write(
            message(
                status,
                json.dumps(found).encode(),
                Content_Type='application/json',
                Store_Era=self.era,
            )
        )
        await writer.drain()
        return True

    def _range(self, query: dict) -> dict:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query.get('prefix', ''))
            and key > query.get('after', '')
        )
        return {
            'items': [self.items[key] for key in keys[:50]],
            'has_more': len(keys) > 50,
            'at': self.revision,
        }

    async def _watch(self, query: dict) -> tuple:
        after, era = int(query['after']), self.era
        if not self.oldest <= after <= self.revision:
            return 410, {}
        end = time.monotonic() + int(query['wait_ms']) / 1000
        while not (events := self._since(after)):
            left = end - time.monotonic()
            if left <= 0 or era != self.era:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), left)
        return 200, {'events': events, 'at': self.revision}

    def _since(self, after: int) -> list:
        return [c for c in self.history if c['revision'] > after]


class Server(Listener):
    """A plain server or, with events, a model server.

    :param events: the number of events in a stream; 0 for a plain server.
    """

    def __init__(
        self, name: str, service: str, record: 'Record', events: int = 0
    ) -> None:
        super().__init__()
        self.name, self.service, self.events = name, service, events
        self.record = record
        self.zone = 'zone-a'
        self.state = 'ready'
        self.born, self.sequence = int(time.time() * 1000), 1
        self.runs = []
        # Called with the fields of a request when it is about to answer it;
        # returns whether it answers.
        self.on_run = lambda fields: True
        # Returns the status and the fields of the answer of a plain server.
        self.reply = lambda fields: (200, {})
        # The work of a plain server on a request.
        self.work_seconds = 0.0
        self._leases = 0
        # Seconds that a stream takes, and how many run at once; leases count.
        self.seconds, self.slots, self.active = 0.0, 24, 0
        self._leased_until: dict[str, float] = {}

    def entry(self) -> dict:
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 24 if self.events else 6,
            'state': self.state,
            'warmup_left_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def answer(
        self,
        writer: asyncio.StreamWriter,
        line: list,
        fields: dict,
        body: bytes,
    ) -> bool:
        path = parse.urlsplit(line[1]).path
        if path.startswith('/v1/') or path == '/healthz':
            writer.write(self._call(line[0], path))
            await writer.drain()
            return True
        attempt = fields.get('kingcupfront-attempt-id')
        if fields.get('kingcupfront-expect-instance') != self.name:
            writer.write(message(421))
            await writer.drain()
            return True
        if not attempt:
            writer.write(message(400, Kingcupfront_Not_Executed=1))
            await writer.drain()
            return True
        self.runs.append(attempt)
        self.record.note(f'run {self.name} {attempt[:24]}')
        if not self.on_run(fields):
            await self.shut()
            return False
        own = {
            'Kingcupfront_Attempt_Id': attempt,
            'Kingcupfront_Server_Signature': 'signed',
        }
        if self.events:
            self._leased_until.pop(fields.get('kingcupfront-retention'), None)
            self.active += 1
            try:
                await self._stream(writer, own, fields)
            finally:
                self.active -= 1
        else:
            await asyncio.sleep(self.work_seconds)
            status, more = self.reply(fields)
            writer.write(message(status, b'answer', **own, **more))
            await writer.drain()
        return True

    def _call(self, method: str, path: str) -> bytes:
        if path == '/v1/report':
            report = {
                'phase': 'unified',
                'models': [],
                'busy': False,
                'sequence': self.sequence,
                'queued': 0,
                'active': self.active,
                'kv_used': 0,
                'kv_total': 34161,
                'kv_handles': 0,
                'state': self.state,
                'runs': [],
                'born': self.born,
            }
            return message(200, json.dumps(report).encode())
        if path == '/v1/hold-take':
            return self._lease()
        if method == 'DELETE':
            self._leased_until.pop(path.rpartition('/')[2], None)
            return message(200, b'{}')
        return message(200 if path == '/healthz' else 404)

    def _lease(self) -> bytes:
        now = time.monotonic()
        leased = self._leased_until
        for name in [n for n, until in leased.items() if until <= now]:
            del leased[name]
        if self.active + len(leased) >= self.slots:
            return message(503)
        self._leases += 1
        name = f'lease-{self._leases}'
        leased[name] = now + 1.0
        return message(200, json.dumps({'retention': name}).encode())

    async def _stream(
        self, writer: asyncio.StreamWriter, own: dict, fields: dict
    ) -> None:
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{n.replace("_", "-")}: {v}' for n, v in own.items()]
        lines += ['Transfer-Encoding: chunked', '', '']
        data = '\r\n'.join(lines).encode()
        writer.write(data)
        first = int(fields.get('last-event-id') or 0) + 1
        for number in range(first, self.events + 1):
            if self.seconds:
                await asyncio.sleep(self.seconds / self.events)
            event = f'id: {number}\ndata: piece\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


class Answer:
    """What a caller got; the status is 0 if the connection broke."""

    def __init__(
        self,
        status: int = 0,
        fields: dict = None,
        body: bytes = b'',
        is_whole: bool = False,
    ) -> None:
        self.status, self.fields = status, fields or {}
        self.body, self.is_whole = body, is_whole


async def ask(
    host: str,
    path: str,
    attempt: str,
    *,
    method: str = 'POST',
    key: str = KEY,
    fields: dict = (),
) -> Answer:
    """Send a request on a connection of its own; return the answer."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST_NAME}',
        f'Kingcupfront-Attempt-Id: {attempt}',
        'Kingcupfront-Deadline-Ms: 6000',
        f'Authorization: Token {key}',
        'Connection: close',
        'Content-Length: 0',
        *(f'{name}: {value}' for name, value in dict(fields).items()),
    ]
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, CALLERS_PORT, limit=2**20), 1.0
        )
        writer.write('\r\n'.join([*lines, '', '']).encode())
        data = await asyncio.wait_for(reader.read(), 7.0)
    except (TimeoutError, OSError):
        return Answer()
    finally:
        if writer is not None:
            writer.close()
    head, _, body = data.partition(b'\r\n\r\n')
    first, *rest = head.decode('latin-1').split('\r\n')
    if not first.startswith('HTTP/1.1 '):
        return Answer()
    got = {
        n.lower(): v.strip() for n, _, v in (f.partition(':') for f in rest)
    }
    if 'content-length' in got:
        is_whole = len(body) == int(got['content-length'])
    else:
        is_whole = body.endswith(b'0\r\n\r\n')
    return Answer(int(first.split()[1]), got, body, is_whole)


class Line:
    """A kept connection of a caller."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._streams = None

    async def ask(self, path: str, attempt: str, fields: dict) -> int:
        """Send a request and read the whole answer; return its status."""
        lines = [
            f'POST {path} HTTP/1.1',
            f'Host: {HOST_NAME}',
            f'Kingcupfront-Attempt-Id: {attempt}',
            'Kingcupfront-Deadline-Ms: 6000',
            f'Authorization: Token {KEY}',
            'Content-Length: 0',
            *(f'{name}: {value}' for name, value in fields.items()),
        ]
        try:
            if self._streams is None:
                self._streams = await asyncio.open_connection(
                    self._host, CALLERS_PORT, limit=2**20
                )
            reader, writer = self._streams
            writer.write('\r\n'.join([*lines, '', '']).encode())
            return await asyncio.wait_for(self._read(reader), 7.0)
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return 0

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def _read(self, reader: asyncio.StreamReader) -> int:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *rest = head.lower().split('\r\n')
        fields = dict(line.split(': ', 1) for line in rest if line)
        if 'content-length' in fields:
            await reader.readexactly(int(fields['content-length']))
        else:
            await reader.readuntil(b'\r\n0\r\n\r\n')
        if fields.get('connection') == 'close':
            self.close()
        return int(first.split()[1])


async def is_ready(host: str) -> bool:
    """Ask as the platform does whether a machine is ready."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, READY_PORT), 1.0
        )
        writer.write(b'GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
        line = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
        return b' 200' in line
    except (TimeoutError, OSError):
        return False


def new_host() -> str:
    """Return a loopback address at which the ports of a machine are free."""
    for _ in range(50):
        numbers = [random.randint(1, 250) for _ in range(3)]
        host = '127.' + '.'.join(map(str, numbers))
        with contextlib.ExitStack() as stack:
            try:
                for port in (
                    CALLERS_PORT,
                    PEERS_PORT,
                    READY_PORT,
                    METRICS_PORT,
                ):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((host, port))
            except OSError:
                continue
            return host
    raise UnableError('no loopback address with free ports')


class Gateway:
    """One process of the system, started as the deploy file says."""

    def __init__(
        self,
        name: str,
        folder: str,
        store: str,
        seeds: list,
        ip: str,
        memory_mb: int = 150,
    ) -> None:
        self.name, self.ip = name, ip
        self.settings = pathlib.Path(folder) / f'{name}.toml'
        self.log = pathlib.Path(folder) / f'{name}.log'
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                store=store,
                memory_mb=memory_mb,
                seeds=json.dumps([f'{s}:{PEERS_PORT}' for s in seeds]),
            )
        )
        self.process = None

    async def start(self) -> None:
        kept = ('PATH', 'HOME', 'LANG')
        environment = {n: os.environ[n] for n in kept if n in os.environ}
        environment['KINGCUPFRONT_SETTINGS'] = str(self.settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-S',
                'target/start.py',
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, seconds: float = 20) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await is_ready(self.ip):
                return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.05)
        raise UnableError(f'{self.name} is not ready: {self.tail()}')

    def tail(self) -> str:
        return self.log.read_text()[-1500:]

    @property
    def resident_bytes(self) -> int:
        """The memory of the process; 0 if it has ended."""
        try:
            status = pathlib.Path(f'/proc/{self.process.pid}/status')
            for line in status.read_text().splitlines():
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class World:
    """A store, servers and gateways, which end with the case."""

    def __init__(self, folder: str, record: 'Record') -> None:
        self.folder, self.record = folder, record
        self.store = Store(record)
        self.servers, self.gateways = [], []
        self.version = 1
        self.tenants = {'north': [KEY]}
        self.routes = {}
        self.add_route('once', route_type='non_idempotent', service='plain')
        self.add_route(
            'safe',
            route_type='idempotent',
            service='plain',
            max_attempts=2,
        )
        self.add_route(
            'resume',
            route_type='streaming',
            service='engine',
            max_attempts=2,
            stream_resume=True,
        )
        self.add_route('stream', route_type='streaming', service='engine')

    def add_route(self, name: str, **more: object) -> None:
        self.routes[name] = {
            'name': name,
            'host': HOST_NAME,
            'prefix': f'/{name}/',
            'timeout_ms': 6000,
            'target_latency_ms': 1500,
            'priority': 1,
            'max_attempts': 1,
            'public': False,
        } | more

    def configuration(self) -> dict:
        engine = {
            'slots': 24,
            'kv_capacity': 34161,
            'stride': 4,
            'moves': True,
            'backups': True,
            'hold_ms': 2000,
        }
        return {
            'version': self.version,
            'routes': list(self.routes.values()),
            'services': [
                {'name': 'plain', 'health_path': '/healthz'},
                {'name': 'engine', 'engine': engine},
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 4194304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
            'tenants': [
                {'name': name, 'api_keys': keys, 'priority': 1}
                for name, keys in self.tenants.items()
            ],
        }

    async def publish(self) -> None:
        """Write a version; its acknowledgement is when this returns."""
        await self.store.put('op/config', self.configuration())
        self.record.note(f'operator: version {self.version} acknowledged')

    async def add_server(
        self, name: str, service: str, events: int = 0
    ) -> Server:
        server = Server(name, service, self.record, events)
        await server.open()
        self.servers.append(server)
        await self.store.put(f'servers/{name}', server.entry())
        return server

    async def heartbeats(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            if not self.store.is_away:
                for server in self.servers:
                    await self.store.put(
                        f'servers/{server.name}', server.entry()
                    )

    async def add_gateways(self, count: int, memory_mb: int = 150) -> None:
        hosts = [new_host() for _ in range(count)]
        for number, host in enumerate(hosts, 1):
            gateway = Gateway(
                f'edge-{number}',
                self.folder,
                self.store.address,
                hosts[:3],
                host,
                memory_mb,
            )
            self.gateways.append(gateway)
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()


def run(record_path: str, has_trouble: bool, case: object) -> None:
    """Run a case and exit as its result says.

    :param record_path: the file for what was sent, answered and run.
    :param has_trouble: whether there is a disruption.
    :param case: called with the world and ``has_trouble``; returns HELD,
        BROKEN or UNABLE.
    """
    record = Record(record_path)

    async def play() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            world = World(temporary, record)
            asyncio.get_running_loop().add_signal_handler(
                signal.SIGTERM, asyncio.current_task().cancel
            )
            await world.store.open()
            beats = asyncio.create_task(world.heartbeats())
            try:
                return await asyncio.wait_for(case(world, has_trouble), 115)
            finally:
                beats.cancel()
                for gateway in world.gateways:
                    await gateway.kill()
                if os.environ.get('KEEP'):
                    for gateway in world.gateways:
                        target = pathlib.Path(os.environ['KEEP'])
                        (target / gateway.log.name).write_bytes(
                            gateway.log.read_bytes()
                        )

    # A crowd of callers needs more descriptors than many shells allow.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 4096 if most == resource.RLIM_INFINITY else min(most, 4096)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, most))
    try:
        result = asyncio.run(play())
    except (UnableError, OSError, asyncio.CancelledError) as error:
        record.note(f'the case could not run: {error!r}')
        result = UNABLE
    words = {HELD: 'held', BROKEN: 'broken', UNABLE: 'could not run'}
    record.note(f'result: {words[result]}')
    sys.stdout.write(words[result] + '\n')
    record.close()
    sys.exit(result)
