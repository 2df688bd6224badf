"""A fake engine that is fast enough not to be the bottleneck.

Run as ``python -m kingcupfront_bench.speed_engine``; it prints the address
that it has bound. Each token carries the monotonic second at which it was
sent, which all processes of one machine share.
"""

import dataclasses
import heapq
import json
import select
import socket
import time

HEAD_END = b'\r\n\r\n'
READ_BYTES = 65536
IDLE_SECONDS = 1.0
LOAD = {
    'running': 0,
    'waiting': 0,
    'free_blocks': 10_000_000,
    'total_blocks': 10_000_000,
    'preemptions': 0,
    'leaving': False,
}
ANSWER = (
    'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    'Transfer-Encoding: chunked\r\nX-Run-Id: r\r\n\r\n'
)
TOKEN = (
    'id: r.%d\ndata: {"id": "speed", "object": "chat.completion.chunk", '
    '"created": 1700000000, "model": "assistant", "choices": [{"index": 0, '
    '"delta": {"content": "word "}, "finish_reason": %s}], "t": %.6f}\n\n'
)


@dataclasses.dataclass
class Stream:
    """One stream of the fake engine.

    :param sock: the connection.
    :param total: how many tokens it will have.
    :param interval: seconds between its tokens.
    :param sent: how many it has.
    """

    sock: socket.socket
    total: int
    interval: float
    sent: int = 0


class SpeedEngine:
    """Serves paced streams from one thread."""

    def __init__(self) -> None:
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=2048)
        self._poll = select.epoll()
        self._poll.register(self._listener, select.EPOLLIN)
        self._socks_by_fd: dict[int, socket.socket] = {}
        self._due: list[tuple[float, int, Stream]] = []
        self._reports = 0

    @property
    def address(self) -> str:
        """The address that was bound."""
        host, port = self._listener.getsockname()
        return f'{host}:{port}'

    def serve(self) -> None:
        """Serve for ever."""
        while True:
            wait = IDLE_SECONDS
            if self._due:
                wait = max(0.0, self._due[0][0] - time.monotonic())
            for fd, _ in self._poll.poll(min(wait, IDLE_SECONDS)):
                if fd == self._listener.fileno():
                    self._accept()
                else:
                    self._read(fd)
            self._send_due()

    def _accept(self) -> None:
        sock, _ = self._listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socks_by_fd[sock.fileno()] = sock
        self._poll.register(sock, select.EPOLLIN)

    def _read(self, fd: int) -> None:
        sock = self._socks_by_fd[fd]
        try:
            data = sock.recv(READ_BYTES)
        except ConnectionError:
            data = b''
        if not data:
            self._close(sock)
        elif data.startswith(b'POST'):
            self._begin(sock, data)
        elif data.startswith((b'GET', b'DELETE')):
            self._reports += 1
            body = json.dumps(LOAD | {'number': self._reports}).encode()
            head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
            sock.sendall(head % len(body) + body)

    def _begin(self, sock: socket.socket, data: bytes) -> None:
        while not data.rstrip().endswith(b'}'):
            data += sock.recv(READ_BYTES)
        body = json.loads(data.partition(HEAD_END)[2])
        item = Stream(sock, body['max_tokens'], 1 / body['speed'])
        sock.sendall(ANSWER.encode())
        heapq.heappush(self._due, (time.monotonic(), id(item), item))

    def _send_due(self) -> None:
        now = time.monotonic()
        while self._due and self._due[0][0] <= now:
            at, _, item = heapq.heappop(self._due)
            if item.sock.fileno() < 0:
                continue
            item.sent += 1
            if self._send(item, now) and item.sent < item.total:
                entry = (at + item.interval, id(item), item)
                heapq.heappush(self._due, entry)
            now = time.monotonic()

    def _send(self, item: Stream, now: float) -> bool:
        last = item.sent == item.total
        text = TOKEN % (item.sent, '"stop"' if last else 'null', now)
        if last:
            text += f'id: r.{item.sent + 1}\ndata: [DONE]\n\n'
        data = b'%x\r\n%s\r\n' % (len(text), text.encode())
        try:
            item.sock.sendall(data + (b'0\r\n\r\n' if last else b''))
        except ConnectionError:
            self._close(item.sock)
            return False
        return True

    def _close(self, sock: socket.socket) -> None:
        self._socks_by_fd.pop(sock.fileno(), None)
        sock.close()


def main() -> None:
    """Run an engine and print where it listens."""
    item = SpeedEngine()
    print(f'listening={item.address}', flush=True)  # noqa: T201
    item.serve()


if __name__ == '__main__':
    main()
