"""A connection whose request was not sent whole is used again."""

import contextlib
import itertools
import pathlib
import socket
import threading
import time

import engine
import harness

# As much as the limits of the configuration allow.
LONG_BODY_BYTES = 4194304
DEADLINE_MS = 1500
# From its early answer until the server reads on.
READ_ON_SECONDS = 1.0
RECEIVE_BUFFER_BYTES = 4096
KEEP_ALIVE_SECONDS = 30
PLAY_SECONDS = 25.0
# `Connection: close` appears occasionally in responses, also without TROUBLE.
ANSWERS_PER_CLOSE = 10
SHORT_AT_ONCE = 6
SHORT_INTERVAL_SECONDS = 0.25
LONG_AFTER_SECONDS = 2.0
LONG_INTERVAL_SECONDS = 0.5
# The server that answers one long request early.
EARLY_ID = 'i-1'


class PlainServer:
    """A plain server; it may answer a long request before it is in.

    :param server_id: its id in the store.
    """

    def __init__(self, server_id: str, record: harness.Record) -> None:
        self.id = server_id
        self.foreign: list[str] = []
        self.answers = 0
        self.early = 0
        self.has_had_long = False
        self._record = record
        self.address = harness.TcpServer(
            self._handle, RECEIVE_BUFFER_BYTES
        ).address

    def entry(self) -> dict[str, object]:
        """Return its entry in the store."""
        return harness.entry('registro-lotes', self.address, slots=6)

    def _handle(self, sock: socket.socket) -> None:
        wire = harness.Wire(sock)
        while (head := wire.read_head()) is not None:
            fields = head[1]
            attempt = fields['kingcupfront-attempt-id']
            size = int(fields.get('content-length', 0))
            is_first_long = size == LONG_BODY_BYTES and not self.has_had_long
            self.has_had_long |= is_first_long
            self.answers += 1
            if is_first_long and self.id == EARLY_ID and harness.is_troubled():
                self._reject(sock, attempt)
                time.sleep(READ_ON_SECONDS)
                if not self._read_rest(wire, attempt, size):
                    return
                continue
            if len(wire.read_exactly(size)) < size:
                return
            self._record(f'{self.id} runs {attempt}, {size} bytes')
            time.sleep(0.0225)
            is_last = self.answers % ANSWERS_PER_CLOSE == 0
            self._send(
                sock,
                200,
                b'done',
                attempt,
                f'Kingcupfront-Server-Signature: {engine.SIGNATURE}\r\n',
                is_last=is_last,
            )
            if is_last:
                return

    def _reject(self, sock: socket.socket, attempt: str) -> None:
        self.early += 1
        self._record(f'{self.id} rejects {attempt} before it is in')
        self._send(
            sock, 503, b'full', attempt, 'Kingcupfront-Not-Executed: 1\r\n'
        )

    def _read_rest(self, wire: harness.Wire, attempt: str, size: int) -> bool:
        """Read the rest of a long body; look whether it is the client's."""
        left = size
        while left:
            data = wire.read_exactly(min(left, 65536))
            if data.strip(b'a'):
                start = len(data) - len(data.lstrip(b'a'))
                found = data[start : start + 60]
                self.foreign.append(attempt)
                self._record(
                    f'{self.id} finds {found!r} where {left - start} more '
                    f'bytes of the body of {attempt} are due'
                )
                return False
            if not data:
                self._record(f'{self.id}: the connection ended {left} early')
                return False
            left -= len(data)
        self._record(f'{self.id} has the whole body of {attempt}')
        return True

    def _send(
        self,
        sock: socket.socket,
        status: int,
        body: bytes,
        attempt: str,
        more: str,
        *,
        is_last: bool = False,
    ) -> None:
        kept = f'Keep-Alive: timeout={KEEP_ALIVE_SECONDS}\r\n'
        if is_last:
            kept = 'Connection: close\r\n'
        sock.sendall(
            f'HTTP/1.1 {status} -\r\nKingcupfront-Attempt-Id: {attempt}\r\n'
            f'{kept}{more}'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )


def main(record: harness.Record, log: pathlib.Path | None) -> int:
    """Play the case."""
    store = harness.Store()
    servers = [PlainServer(f'i-{number}', record) for number in (1, 2, 3)]
    for server in servers:
        store.put(f'servers/{server.id}', server.entry())
    store.put(
        'op/config',
        harness.configuration(
            1,
            [harness.plain_route('lot-status')],
            [harness.plain_service()],
        ),
    )
    with harness.running_gateway(store, log) as gateway:
        threads: list[threading.Thread] = []
        _play(gateway, record, servers[0], threads)
        for thread in threads:
            thread.join()
    early = servers[0]
    record(f'answers of {early.id}: {early.answers}, early: {early.early}')
    if harness.is_troubled() and not early.early:
        raise harness.CannotRunError('no long request reached the server')
    # UNASKED: a server gets other bytes where the rest of a body is due.
    foreign = [attempt for server in servers for attempt in server.foreign]
    record(f'bodies in which other bytes came: {foreign}')
    return harness.BROKEN if foreign else harness.HELD


def _play(
    gateway: harness.Gateway,
    record: harness.Record,
    early: PlainServer,
    threads: list[threading.Thread],
) -> None:
    """Send short requests all the time, and long ones until one counts."""
    start = time.monotonic()
    next_long = start + LONG_AFTER_SECONDS
    numbers = itertools.count(1)
    while (now := time.monotonic()) < start + PLAY_SECONDS:
        bodies = [b'question'] * SHORT_AT_ONCE
        if now >= next_long and not early.has_had_long:
            next_long = now + LONG_INTERVAL_SECONDS
            bodies.insert(0, b'a' * LONG_BODY_BYTES)
        for body in bodies:
            prefix = 'long' if len(body) == LONG_BODY_BYTES else 'b'
            threads.append(
                threading.Thread(
                    target=_ask,
                    args=(gateway, record, f'{prefix}{next(numbers)}', body),
                )
            )
            threads[-1].start()
        time.sleep(SHORT_INTERVAL_SECONDS)


def _ask(
    gateway: harness.Gateway,
    record: harness.Record,
    attempt: str,
    body: bytes,
) -> None:
    with contextlib.suppress(OSError):
        client = harness.Client(gateway.front, timeout=10.0)
        record(f'client sends {attempt}, {len(body)} bytes')
        client.send('/lot-status/2f', attempt, DEADLINE_MS, body)
        answer = client.read()
        record(
            f'client got {answer.status} to {attempt}: '
            f'{answer.body.decode("latin-1").strip()}'
        )


harness.play(pathlib.Path(__file__).with_name('record.txt'), main)
