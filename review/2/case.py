"""A connection whose request was not sent whole is used again."""

import contextlib
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
SHORT_REQUESTS = 30
SHORT_INTERVAL_SECONDS = 0.1


class PlainServer:
    """A plain server; it may answer a long request before it is in.

    :param server_id: its id in the store.
    """

    def __init__(self, server_id: str, record: harness.Record) -> None:
        self.id = server_id
        self.foreign: list[str] = []
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
            is_long = size > RECEIVE_BUFFER_BYTES
            if is_long and harness.is_troubled():
                self._reject(sock, attempt)
                time.sleep(READ_ON_SECONDS)
                if not self._read_rest(wire, attempt, size):
                    return
                continue
            if len(wire.read_exactly(size)) < size:
                return
            self._record(f'{self.id} runs {attempt}, {size} bytes')
            time.sleep(0.0225)
            self._send(
                sock,
                200,
                b'done',
                attempt,
                f'Kingcupfront-Server-Signature: {engine.SIGNATURE}\r\n',
            )

    def _reject(self, sock: socket.socket, attempt: str) -> None:
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
    ) -> None:
        sock.sendall(
            f'HTTP/1.1 {status} -\r\nKingcupfront-Attempt-Id: {attempt}\r\n'
            f'Keep-Alive: timeout=10\r\n{more}'
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
        threads = [
            threading.Thread(
                target=_ask,
                args=(gateway, record, 'b0', b'a' * LONG_BODY_BYTES),
            )
        ]
        threads[0].start()
        for number in range(1, SHORT_REQUESTS + 1):
            time.sleep(SHORT_INTERVAL_SECONDS)
            threads.append(
                threading.Thread(
                    target=_ask,
                    args=(gateway, record, f'b{number}', b'question'),
                )
            )
            threads[-1].start()
        for thread in threads:
            thread.join()
        time.sleep(READ_ON_SECONDS)
    # UNASKED: a server gets other bytes where the rest of a body is due.
    foreign = [attempt for server in servers for attempt in server.foreign]
    record(f'bodies in which other bytes came: {foreign}')
    return harness.BROKEN if foreign else harness.HELD


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


harness.play(pathlib.Path(__file__).parent, main)
