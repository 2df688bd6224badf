"""Many callers in one thread, who note when each token arrives.

Run as ``python -m kingcupfront_bench.speed_client``; it prints one JSON
object with the quantiles.
"""

import argparse
import dataclasses
import json
import re
import select
import socket
import time
import typing

import numpy as np

READ_BYTES = 65536
QUANTILES = (50, 95, 99)
STAMP = re.compile(rb'"t": ([0-9.]+)}')
MILLISECONDS_PER_SECOND = 1000
OPEN_SECONDS = 3.0
STEADY_SECONDS = OPEN_SECONDS + 1.0
POLL_SECONDS = 0.05


@dataclasses.dataclass
class Caller:
    """One caller and what it has seen.

    :param sock: its connection.
    :param asked_at: the monotonic second at which it asked.
    :param seen_at: the monotonic second of the last token, if any.
    :param rest: bytes after the last whole token.
    :param tokens: how many it has.
    """

    sock: socket.socket
    asked_at: float
    seen_at: float = 0.0
    rest: bytes = b''
    tokens: int = 0


class Callers:
    """Opens streams one after another and reads them all.

    Delays and gaps count from one second after the last one was opened.

    :param addresses: where to ask, in turn.
    :param body: the request.
    :param key: the API key.
    """

    def __init__(self, addresses: list[str], body: bytes, key: str) -> None:
        self._addresses = addresses
        self._request = (
            b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
            b'Content-Type: application/json\r\n'
            b'Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s'
            % (key.encode(), len(body), body)
        )
        self._poll = select.epoll()
        self._callers_by_fd: dict[int, Caller] = {}
        self.firsts: list[float] = []
        self.delays: list[float] = []
        self.gaps: list[float] = []
        self.tokens = 0
        self.broken = 0
        self.ended = 0
        self._steady_at = 0.0

    def run(self, count: int) -> None:
        """Open the streams and read them to their ends.

        :param count: how many streams.
        """
        start = time.monotonic()
        self._steady_at = start + STEADY_SECONDS
        opened = 0
        while self.ended + self.broken < count:
            due = int((time.monotonic() - start) / OPEN_SECONDS * count) + 1
            while opened < min(due, count):
                self._open(self._addresses[opened % len(self._addresses)])
                opened += 1
            wait = OPEN_SECONDS / count if opened < count else POLL_SECONDS
            for fd, _ in self._poll.poll(wait):
                self._read(self._callers_by_fd[fd])

    def _open(self, address: str) -> None:
        host, port = address.rsplit(':', 1)
        sock = socket.create_connection((host, int(port)))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._callers_by_fd[sock.fileno()] = Caller(sock, time.monotonic())
        self._poll.register(sock, select.EPOLLIN)
        sock.sendall(self._request)

    def _read(self, caller: Caller) -> None:
        try:
            data = caller.rest + caller.sock.recv(READ_BYTES)
        except ConnectionError:
            data = b''
        now = time.monotonic()
        end = 0
        for found in STAMP.finditer(data):
            self._note(caller, now, float(found[1]))
            end = found.end()
        if b'[DONE]' in data[end:]:
            self.ended += 1
            self._close(caller)
        elif not data or b'"error": {' in data:
            self.broken += 1
            self._close(caller)
        else:
            caller.rest = data[end:]

    def _note(self, caller: Caller, now: float, sent_at: float) -> None:
        if not caller.tokens:
            self.firsts.append(now - caller.asked_at)
        elif now > self._steady_at:
            self.delays.append(now - sent_at)
            self.gaps.append(now - caller.seen_at)
        caller.seen_at = now
        caller.tokens += 1
        self.tokens += 1

    def _close(self, caller: Caller) -> None:
        del self._callers_by_fd[caller.sock.fileno()]
        caller.sock.close()


def quantiles(seconds: list[float]) -> dict[str, float]:
    """Return quantiles in milliseconds."""
    if not seconds:
        return {}
    values = np.percentile(seconds, QUANTILES) * MILLISECONDS_PER_SECOND
    names = [f'p{q}' for q in QUANTILES]
    return {n: round(float(v), 3) for n, v in zip(names, values, strict=True)}


def summary(callers: Callers, seconds: float) -> dict[str, typing.Any]:
    """Return what the callers saw.

    :param seconds: how long it took.
    """
    return {
        'whole': callers.ended,
        'broken': callers.broken,
        'tokens': callers.tokens,
        'seconds': round(seconds, 2),
        'first_ms': quantiles(callers.firsts),
        'delay_ms': quantiles(callers.delays),
        'gap_ms': quantiles(callers.gaps),
    }


def main() -> None:
    """Run the callers and print what they saw."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--streams', type=int, required=True)
    parser.add_argument('--tokens', type=int, required=True)
    parser.add_argument('--speed', type=float, required=True)
    parser.add_argument('--key', default='none')
    parser.add_argument('addresses', nargs='+')
    options = parser.parse_args()
    body = {
        'model': 'assistant',
        'messages': [{'role': 'user', 'content': 'hello'}],
        'stream': True,
        'max_tokens': options.tokens,
        'speed': options.speed,
    }
    callers = Callers(
        options.addresses, json.dumps(body).encode(), options.key
    )
    start = time.monotonic()
    callers.run(options.streams)
    result = summary(callers, time.monotonic() - start)
    print(json.dumps(result), flush=True)  # noqa: T201


if __name__ == '__main__':
    main()
