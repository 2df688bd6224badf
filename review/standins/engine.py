"""A stand-in of a model server that streams numbered events."""

from collections.abc import Callable
import dataclasses
import json
import select
import socket
import threading
import time
import typing

from harness import Record
from harness import TcpServer
from harness import Wire
from harness import entry

SIGNATURE = '3e1b.07.5a2.600.0.c9f2a4d1'
TOKENS_PER_EVENT = 4
KV_TOKENS = 34161
COPY_SECONDS = 0.05
TICK_SECONDS = 0.01


def shared_parts(fields: dict[str, str]) -> list[str]:
    """Return the parts of a request's prompt but the last."""
    parts = fields.get('kingcupfront-prefix-hash', '').split(',')
    return [part.partition(':')[0] for part in parts][:-1]


@dataclasses.dataclass
class Run:
    """A request at work.

    :param created: the events made so far.
    :param is_stopped: whether a move has stopped it.
    :param ended_at: when the work ended, on the monotonic clock.
    """

    attempt: str
    engine: str
    prompt_tokens: int
    backup: str
    started_at: float
    created: int = 0
    is_stopped: bool = False
    ended_at: float | None = None
    end: str = ''


class Copies:
    """The copies of runs' memory, by the address that holds each and a name.

    Engines of one case share it.
    """

    def __init__(self) -> None:
        self.created_by_name: dict[str, int] = {}
        self.tokens_by_name: dict[str, int] = {}

    def keep(self, holder: str, handle: str, run: Run) -> None:
        """Keep what a run has in memory now."""
        name = f'{holder}/{handle}'
        self.created_by_name[name] = run.created
        self.tokens_by_name[name] = (
            run.prompt_tokens + TOKENS_PER_EVENT * run.created
        )

    def held(self, holder: str) -> int:
        """Return the tokens that a server holds."""
        return sum(
            tokens
            for name, tokens in list(self.tokens_by_name.items())
            if name.startswith(f'{holder}/')
        )

    def take(self, name: str) -> bool:
        """Use a copy up; return whether there was one."""
        self.tokens_by_name.pop(name, None)
        return self.created_by_name.pop(name, None) is not None


class Engine:
    """A model server.

    :param server_id: its id in the store.
    :param copies: shared by the engines of a case.
    :param events: how many events an answer has.
    :param gap_seconds: the time between two events.
    :param prefill_seconds: the time until the first event.
    :param is_framed: whether streams come in chunks; otherwise they end
        with their connection.
    """

    def __init__(
        self,
        server_id: str,
        record: Record,
        copies: Copies,
        *,
        events: int | Callable[[dict[str, str]], int],
        gap_seconds: float = 0.05,
        prefill_seconds: float | Callable[[dict[str, str]], float] = 0.2,
        is_framed: bool = True,
        **place: str,
    ) -> None:
        self.id = server_id
        self.events = events
        self.gap_seconds = gap_seconds
        self.prefill_seconds = prefill_seconds
        self.is_framed = is_framed
        self.place = place
        self.runs: list[Run] = []
        # Runs with these backups are preempted: they make no event until
        # their prompts are read in again.
        self.preempted_backups: set[str] = set()
        # While it is set nothing is read or answered, also on the network.
        self.is_dark = threading.Event()
        # The part of a prompt on which it crashes, and what is called then.
        self.crashing_part = ''
        self.on_crash: Callable[[Engine], None] | None = None
        self._record = record
        self._copies = copies
        self._leases = 0
        self._lock = threading.Lock()
        self._listener = TcpServer(self._handle)
        self.address = self._listener.address

    def entry(self, **more: typing.Any) -> dict[str, typing.Any]:
        """Return its entry in the store."""
        fields = {'service': 'asistente'} | self.place | more
        return entry(address=self.address, slots=24, **fields)

    def _wait_while_dark(self) -> None:
        while self.is_dark.is_set():
            time.sleep(TICK_SECONDS)

    def _handle(self, sock: socket.socket) -> None:
        wire = Wire(sock)
        while (head := wire.read_head()) is not None:
            self._wait_while_dark()
            method, path, _ = head[0].split()
            fields = head[1]
            body = wire.read_exactly(int(fields.get('content-length', 0)))
            if not self._answer(sock, method, path, fields, body):
                return

    def _answer(
        self,
        sock: socket.socket,
        method: str,
        path: str,
        fields: dict[str, str],
        body: bytes,
    ) -> bool:
        if path == '/v1/report':
            return self._send(sock, 200, self._report())
        if path == '/v1/hold-take':
            with self._lock:
                self._leases += 1
                lease = f'lease-{self.id}-{self._leases}'
            return self._send(sock, 200, {'retention': lease})
        if path == '/v1/kv-move':
            return self._move(sock, json.loads(body))
        if method == 'DELETE':
            return self._send(sock, 200, {})
        return self._serve(sock, fields)

    def _send(
        self,
        sock: socket.socket,
        status: int,
        body: dict[str, typing.Any],
        **fields: str,
    ) -> bool:
        text = json.dumps(body).encode()
        lines = ''.join(
            f'{n.replace("_", "-")}: {v}\r\n' for n, v in fields.items()
        )
        sock.sendall(
            f'HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n'
            f'{lines}Content-Length: {len(text)}\r\n\r\n'.encode()
            + text
        )
        return True

    @property
    def active(self) -> list[Run]:
        """The runs at work."""
        return [run for run in self.runs if run.ended_at is None]

    def _report(self) -> dict[str, typing.Any]:
        runs = self.active
        held = self._copies.held(self.address)
        used = sum(
            run.prompt_tokens + TOKENS_PER_EVENT * run.created for run in runs
        )
        return {
            'phase': 'unified',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': 0,
            'queued': 0,
            'active': len(runs),
            'kv_used': used + held,
            'kv_total': KV_TOKENS,
            'kv_handles': 0,
            'held': held,
            'pinned': 0,
            'state': 'ready',
            'runs': [],
        }

    def _move(self, sock: socket.socket, call: dict[str, typing.Any]) -> bool:
        run = next(
            (r for r in self.active if r.attempt == call['instance_id']), None
        )
        if run is None:
            return self._send(sock, 404, {})
        if call.get('last'):
            run.is_stopped = True
        time.sleep(COPY_SECONDS)
        handle = f'h-{run.attempt}'
        # The copy is named by the source's address.
        self._copies.keep(self.address, handle, run)
        self._record(
            f'{self.id} copies {run.attempt} with {run.created} events to '
            f'{call["to"]}' + (', stopped' if call.get('last') else '')
        )
        return self._send(
            sock, 200, {'kv_handle': handle, 'created': run.created}
        )

    def _serve(self, sock: socket.socket, fields: dict[str, str]) -> bool:
        attempt = fields['kingcupfront-attempt-id']
        refusal = {
            'Kingcupfront_Attempt_Id': attempt,
            'Kingcupfront_Not_Executed': '1',
        }
        if fields.get('kingcupfront-expect-instance') not in (None, self.id):
            return self._send(sock, 421, {}, **refusal)
        source = fields.get('kv-from')
        if source is not None and not self._copies.take(source):
            return self._send(sock, 503, {}, **refusal)
        usage = fields.get('kingcupfront-token-usage', '0,0')
        run = Run(
            attempt,
            self.id,
            int(usage.split(',')[0]),
            fields.get('kingcupfront-kv-backup', ''),
            time.monotonic(),
        )
        run.created = int(fields.get('last-event-id', 0))
        self.runs.append(run)
        self._record(
            f'{self.id} runs {attempt} from event {run.created + 1}'
            + (f', backup at {run.backup}' if run.backup else '')
        )
        try:
            is_kept = self._stream(sock, fields, run, source is not None)
        except OSError:
            run.end, is_kept = 'connection closed', False
        run.ended_at = time.monotonic()
        self._record(
            f'{self.id} ends {attempt} after event {run.created}: {run.end}'
        )
        return is_kept

    def _stream(
        self,
        sock: socket.socket,
        fields: dict[str, str],
        run: Run,
        is_continued: bool,
    ) -> bool:
        seconds = self.prefill_seconds
        if callable(seconds):
            seconds = seconds(fields)
        self._work(sock, run, 0.02 if is_continued else seconds)
        if self.crashing_part and self.crashing_part in shared_parts(fields):
            self._crash()
            raise ConnectionResetError('the server has crashed')
        framing = 'Transfer-Encoding: chunked\r\n' if self.is_framed else ''
        sock.sendall(
            f'HTTP/1.1 200 OK\r\nKingcupfront-Attempt-Id: {run.attempt}\r\n'
            f'Kingcupfront-Server-Signature: {SIGNATURE}\r\n'
            f'Content-Type: text/event-stream\r\n{framing}\r\n'.encode()
        )
        events = self.events(fields) if callable(self.events) else self.events
        while run.created < events:
            if run.is_stopped:
                run.end = 'stopped by a move'
                return False
            data = (
                f'id: {run.created + 1}\n'
                f'data: {run.attempt} {run.created + 1}\n\n'
            ).encode()
            if self.is_framed:
                data = f'{len(data):x}\r\n'.encode() + data + b'\r\n'
            sock.sendall(data)
            run.created += 1
            if run.backup:
                self._copies.keep(run.backup, run.attempt, run)
            self._work(sock, run, self.gap_seconds)
        run.end = 'complete'
        if self.is_framed:
            sock.sendall(b'0\r\n\r\n')
        return self.is_framed

    def _crash(self) -> None:
        self._record(f'{self.id} crashes')
        self._listener.close()
        if self.on_crash is not None:
            self.on_crash(self)

    def _work(self, sock: socket.socket, run: Run, seconds: float) -> None:
        """Work for some time; stop if the connection is closed."""
        end = time.monotonic() + seconds
        while True:
            self._wait_while_dark()
            now = time.monotonic()
            is_preempted = run.backup in self.preempted_backups
            if now >= end and not is_preempted:
                return
            wait = (
                TICK_SECONDS if is_preempted else min(TICK_SECONDS, end - now)
            )
            readable, _, _ = select.select([sock], [], [], wait)
            if readable and not sock.recv(1, socket.MSG_PEEK):
                raise ConnectionResetError('the gateway has closed')
