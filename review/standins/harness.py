"""Starts gateways as processes and stands in for all that they talk to.

Only the standard library is used. Every address is a loopback address.
"""

import base64
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
from http import server as http_server
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import typing
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = 'ficu95.example'
KEY = 'xd9dnn2ctnfzs989anu6'
TENANT = 'huka270'
ZONE = 'guanacaste-a'
OTHER_ZONE = 'cartago-a'
START_SECONDS = 30.0
LONGEST_SECONDS = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge", "control"]
ip = "{ip}"
zone = "guanacaste-a"
region = "guanacaste"
port_range = [{inner}, {inner_end}]
seeds = {seeds}
bootstrap = true
heartbeat_ms = 1200
[zones]
guanacaste-a = "guanacaste"
cartago-a = "cartago"
[listen]
frontend = "{ip}:{front}"
readiness = "{ip}:{ready}"
control_plane = "{ip}:{control}"
[limits]
cpu_quota = 0.537
cores = 2
memory_mb = 150
file_descriptors = 4100
[bounds]
contact_ms = 4000
drain_ms = 2500
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2500
strict_revocation = true
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
budget_slack = 56
[platform]
address = "{store}"
form = "read"
"""


_gateways: list['Gateway'] = []
_numbers = itertools.count(1)


class CannotRunError(Exception):
    """The case could not be played."""


def is_troubled() -> bool:
    """Whether the disruption is played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run to a file.

    :param path: the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._file = path.open('w', encoding='utf-8')
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        with self._lock:
            seconds = time.monotonic() - self._start
            self._file.write(f'{seconds:8.3f} s  {text}\n')
            self._file.flush()

    def text(self) -> str:
        """Return what was written so far."""
        return self._path.read_text(encoding='utf-8')


class Wire:
    """Reads HTTP/1.1 messages from a socket.

    :param sock: the connected socket.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.data = b''

    def fill(self) -> bool:
        """Read more bytes; return False at the end of the connection."""
        more = self.sock.recv(65536)
        self.data += more
        return bool(more)

    def read_head(self) -> tuple[str, dict[str, str]] | None:
        """Return the first line and the headers, or None at the end."""
        while b'\r\n\r\n' not in self.data:
            if not self.fill():
                return None
        head, _, self.data = self.data.partition(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        fields = {}
        for line in lines:
            name, _, value = line.partition(':')
            fields[name.strip().lower()] = value.strip()
        return first, fields

    def read_exactly(self, size: int) -> bytes:
        """Return that many bytes, fewer if the connection ends."""
        while len(self.data) < size:
            if not self.fill():
                break
        body, self.data = self.data[:size], self.data[size:]
        return body

    def read_chunk(self) -> bytes | None:
        """Return the next chunk, b'' for the last one, None if cut off."""
        while b'\r\n' not in self.data:
            if not self.fill():
                return None
        line, _, self.data = self.data.partition(b'\r\n')
        size = int(line.split(b';')[0], 16)
        body = self.read_exactly(size + 2)
        return body[:-2] if len(body) == size + 2 else None


@dataclasses.dataclass
class Answer:
    """What a client got.

    :param status: 0 if no answer began.
    :param is_complete: whether the answer came to its proper end.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_complete: bool = False

    @property
    def event_ids(self) -> list[int]:
        """The numbers of the events in the body."""
        return [
            int(line[3:])
            for line in self.body.split(b'\n')
            if line.startswith(b'id:')
        ]


class Client:
    """A client's connection.

    :param to: the address of the gateway.
    """

    def __init__(self, to: tuple[str, int], timeout: float = 60.0) -> None:
        self.sock = socket.create_connection(to, timeout=timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.wire = Wire(self.sock)

    def send(
        self,
        path: str,
        attempt: str,
        deadline_ms: int,
        body: bytes = b'question',
        **more: str,
    ) -> None:
        """Send a whole request.

        :param more: further headers, with underscores for dashes.
        """
        fields = {
            'Host': HOST_NAME,
            'Kingcupfront-Attempt-Id': attempt,
            'Kingcupfront-Deadline-Ms': str(deadline_ms),
            'Authorization': f'Token {KEY}',
            'Content-Length': str(len(body)),
        }
        fields |= {name.replace('_', '-'): v for name, v in more.items()}
        lines = ''.join(f'{name}: {v}\r\n' for name, v in fields.items())
        head = f'POST {path} HTTP/1.1\r\n{lines}\r\n'
        self.sock.sendall(head.encode() + body)

    def read(self, answer: Answer | None = None) -> Answer:
        """Read the answer; what came before a break stays in it."""
        answer = Answer() if answer is None else answer
        with contextlib.suppress(OSError):
            self._read(answer)
        return answer

    def _read(self, answer: Answer) -> None:
        head = self.wire.read_head()
        if head is None:
            return
        answer.status = int(head[0].split()[1])
        answer.headers = head[1]
        if answer.headers.get('transfer-encoding') == 'chunked':
            while (chunk := self.wire.read_chunk()) is not None:
                answer.body += chunk
                if not chunk:
                    answer.is_complete = True
                    return
            return
        size = int(answer.headers.get('content-length', 0))
        answer.body = self.wire.read_exactly(size)
        answer.is_complete = len(answer.body) == size

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


class _StoreHandler(http_server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def do_GET(self) -> None:
        url = parse.urlsplit(self.path)
        query = dict(parse.parse_qsl(url.query))
        status, body = self.server.store.answer(url.path, query)
        text = json.dumps(body).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(text)))
        self.end_headers()
        # A gateway may have closed the connection meanwhile.
        with contextlib.suppress(OSError):
            self.wfile.write(text)

    def log_message(self, *_: object) -> None:
        pass


class Store:
    """The platform's metadata store."""

    def __init__(self) -> None:
        self.revision = 100
        self._items: dict[str, dict[str, typing.Any]] = {}
        self._events: list[dict[str, typing.Any]] = []
        self._changed = threading.Condition()
        self._server = http_server.ThreadingHTTPServer(
            ('127.0.0.1', 0), _StoreHandler
        )
        self._server.daemon_threads = True
        self._server.store = self
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f'127.0.0.1:{self._server.server_port}'

    def put(self, key: str, value: object) -> None:
        """Write an item; its return is the acknowledgement."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self.revision += 1
            item = {
                'key': key,
                'value': text,
                'revision': self.revision,
                'created': self.revision,
                'lease': 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()

    def delete(self, key: str) -> None:
        """Delete an item."""
        with self._changed:
            self.revision += 1
            del self._items[key]
            self._events.append(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )
            self._changed.notify_all()

    def answer(
        self, path: str, query: dict[str, str]
    ) -> tuple[int, dict[str, typing.Any]]:
        """Answer a call."""
        prefix = query.get('prefix', '')
        if path == '/v1/kv-range':
            with self._changed:
                items = [
                    item
                    for key, item in sorted(self._items.items())
                    if key.startswith(prefix) and key > query.get('after', '')
                ]
                return 200, {
                    'items': items,
                    'has_more': False,
                    'at': self.revision,
                }
        if path == '/v1/kv-watch':
            return 200, self._watch(query, prefix)
        return 404, {}

    def _watch(
        self, query: dict[str, str], prefix: str
    ) -> dict[str, typing.Any]:
        after = int(query['after'])
        end = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        with self._changed:
            while True:
                events = [
                    e
                    for e in self._events
                    if e['revision'] > after and e['key'].startswith(prefix)
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return {'events': events, 'at': self.revision}
                self._changed.wait(left)


class TcpServer:
    """Listens and gives each connection to a thread.

    :param handle: serves a connection until it ends.
    :param receive_buffer: bytes of the connections' receive buffers, or 0.
    """

    def __init__(
        self,
        handle: Callable[[socket.socket], None],
        receive_buffer: int = 0,
    ) -> None:
        self._handle = handle
        self._listener = socket.socket()
        if receive_buffer:
            self._listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen(256)
        self._socks: set[socket.socket] = set()
        self._is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Where it listens."""
        host, port = self._listener.getsockname()
        return f'{host}:{port}'

    def close(self) -> None:
        """End as a process that crashes: all its sockets are closed."""
        self._is_closed = True
        for sock in [self._listener, *self._socks]:
            with contextlib.suppress(OSError):
                # Wakes a thread that waits for the socket.
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self._socks.add(sock)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock:
            self._handle(sock)
        self._socks.discard(sock)


def entry(
    service: str, address: str, *, slots: int, **more: typing.Any
) -> dict[str, typing.Any]:
    """Return a server's entry in the store."""
    return {
        'service': service,
        'address': address,
        'zone': ZONE,
        'version': 'v1',
        'slots': slots,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': 1,
        'born': int(time.time() * 1000),
    } | more


def stream_route(name: str, **more: typing.Any) -> dict[str, typing.Any]:
    """Return the route of a kind of generation, as on the sheet."""
    return {
        'name': name,
        'host': HOST_NAME,
        'prefix': f'/{name}/',
        'route_type': 'streaming',
        'timeout_ms': 39000,
        'target_latency_ms': 1800,
        'target_gap_ms': 180,
        'priority': 1,
        'service': 'asistente',
        'max_attempts': 1,
        'session_affinity': True,
    } | more


def plain_route(name: str, **more: typing.Any) -> dict[str, typing.Any]:
    """Return the route of a kind of plain request, as on the sheet."""
    return {
        'name': name,
        'host': HOST_NAME,
        'prefix': f'/{name}/',
        'route_type': 'idempotent',
        'timeout_ms': 1500,
        'target_latency_ms': 175,
        'priority': 1,
        'service': 'registro-lotes',
        'max_attempts': 2,
    } | more


def engine_service(name: str = 'asistente') -> dict[str, typing.Any]:
    """Return a service of model servers, as on the sheet."""
    return {
        'name': name,
        'health_path': '/healthz',
        'max_connections': 232,
        'engine': {
            'slots': 24,
            'kv_capacity': 34161,
            'stride': 4,
            'moves': True,
            'backups': True,
            'hold_ms': 2000,
            'pin_ms': 4000,
        },
    }


def plain_service(name: str = 'registro-lotes') -> dict[str, typing.Any]:
    """Return a plain service, as on the sheet."""
    return {'name': name, 'health_path': '/healthz', 'max_connections': 110}


def configuration(
    version: int,
    routes: list[dict[str, typing.Any]],
    services: list[dict[str, typing.Any]],
) -> dict[str, typing.Any]:
    """Return a configuration in full."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
    }


class Gateway:
    """A gateway process, started as the deploy file says.

    :param store: the address of the store.
    :param folder: holds its settings file.
    :param log: the file of its standard output.
    """

    def __init__(
        self, store: str, folder: pathlib.Path, log: typing.BinaryIO
    ) -> None:
        parts = (str(random.randint(2, 250)) for _ in range(3))
        self.ip = f'127.{".".join(parts)}'
        front, ready, control, inner = (self._free_port() for _ in range(4))
        self.front = (self.ip, front)
        self.ready = (self.ip, ready)
        self.control = f'{self.ip}:{control}'
        self._settings_path = folder / 'node.toml'
        self._fields = {
            'name': f'edge-guanacaste-a-{next(_numbers)}',
            'ip': self.ip,
            'front': front,
            'ready': ready,
            'control': control,
            'inner': inner,
            'inner_end': inner,
            'store': store,
        }
        self.write_settings([self.control])
        self._log = log
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['KINGCUPFRONT_SETTINGS'] = str(self._settings_path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        self.process = subprocess.Popen(
            ['python3', '-S', 'target/start.py'],
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )

    def write_settings(self, seeds: list[str]) -> None:
        """Write its settings file, at once as a whole."""
        text = SETTINGS.format(seeds=json.dumps(seeds), **self._fields)
        fresh = self._settings_path.with_suffix('.new')
        fresh.write_text(text)
        fresh.replace(self._settings_path)

    def reload(self) -> None:
        """Send SIGHUP."""
        self.process.send_signal(signal.SIGHUP)

    def _free_port(self) -> int:
        with socket.socket() as sock:
            sock.bind((self.ip, 0))
            return sock.getsockname()[1]

    def is_ready(self) -> bool:
        """Whether its health check answers 200."""
        try:
            with socket.create_connection(self.ready, timeout=1) as sock:
                sock.sendall(
                    f'GET /v1/readyz HTTP/1.1\r\nHost: {self.ip}\r\n'
                    'Connection: close\r\n\r\n'.encode()
                )
                return sock.recv(64).startswith(b'HTTP/1.1 200')
        except OSError:
            return False

    def wait_ready(self) -> None:
        """Wait until it is ready, and for what it needs besides."""
        end = time.monotonic() + START_SECONDS
        while not self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise CannotRunError('the gateway does not get ready')
            time.sleep(0.1)

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


@contextlib.contextmanager
def gateways(
    store: Store, count: int, log_path: pathlib.Path | None = None
) -> Iterator[list[Gateway]]:
    """Make gateways, which are still to be started; end them after."""
    with contextlib.ExitStack() as stack:
        made = []
        for number in range(count):
            folder = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            path = folder / 'gateway.log'
            if log_path is not None:
                path = log_path.with_suffix(f'.{number}')
            log = stack.enter_context(path.open('wb'))
            made.append(Gateway(store.address, folder, log))
            stack.callback(made[-1].end)
        _gateways.extend(made)
        yield made


@contextlib.contextmanager
def running_gateway(
    store: Store, log_path: pathlib.Path | None = None
) -> Iterator[Gateway]:
    """Run a gateway while the block runs."""
    with gateways(store, 1, log_path) as (gateway,):
        gateway.start()
        gateway.wait_ready()
        yield gateway


def _give_up(record: Record, why: str = 'the case took too long') -> None:
    record(why)
    for gateway in _gateways:
        gateway.end()
    os._exit(NOT_RUN)


def play(
    record_path: pathlib.Path,
    case: Callable[[Record, pathlib.Path | None], int],
) -> None:
    """Play a case and end the process with its result.

    :param record_path: the file that gets what was sent, answered and run.
    :param case: gets the record and a path for the gateway's log, or None;
        returns HELD, BROKEN or NOT_RUN.
    """
    record = Record(record_path)
    log = os.environ.get('GATEWAY_LOG')
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: _give_up(record, 'told to stop'))
    limit = threading.Timer(LONGEST_SECONDS, _give_up, args=(record,))
    limit.daemon = True
    limit.start()
    record('disruption: ' + ('played' if is_troubled() else 'left out'))
    try:
        result = case(record, pathlib.Path(log) if log else None)
    except Exception as error:  # noqa: BLE001
        # A fault of the case is not one of the gateway.
        record(f'the case could not run: {error!r}')
        result = NOT_RUN
    meaning = {HELD: 'held', BROKEN: 'BROKEN', NOT_RUN: 'could not run'}
    record(f'result: {meaning[result]} (exit {result})')
    # Threads that still serve connections end with the process.
    os._exit(result)
