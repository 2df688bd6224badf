"""Crowds of misbehaving clients, and the resources of the process they reach.

A client ignores a connection that the process closes or resets: only the
state of the process matters.
"""

import contextlib
import dataclasses
import os
import pathlib
import socket
import struct
import typing

import gevent

from features.support import platform_site

BODY_BYTES = 4 * 1024 * 1024
WRITE_SECONDS = 5
CROWD_SECONDS = 20
SAMPLE_SECONDS = 0.02
PIECE_BYTES = 1024
CHUNK_BYTES = 65536
ONE_BYTE_CHUNKS = 40000
FIELDS = 3000
REQUESTS_AHEAD = 4000
RECEIVE_BUFFER_BYTES = 4096
FRAME_BYTES = BODY_BYTES
BODY = bytes(BODY_BYTES)


def gateway_fields():
    """Return the fields that a gateway needs in a request."""
    return (
        f'Host: {platform_site.HOST}',
        f'Kingcupfront-Attempt-Id: {os.urandom(8).hex()}',
        f'Authorization: Token {platform_site.KEY}',
        'Kingcupfront-Deadline-Ms: 20000',
    )


@dataclasses.dataclass(frozen=True)
class Aim:
    """Where the clients of a crowd connect, and what they ask for.

    :param fields: returns the first fields of a request.
    """

    where: tuple
    path: str
    fields: typing.Callable = gateway_fields

    def head(self, *fields):
        lines = [f'POST {self.path} HTTP/1.1', *self.fields(), *fields]
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()

    def with_length(self, size):
        return self.head(f'Content-Length: {size}')


def _short(sock, aim):
    sock.sendall(aim.with_length(BODY_BYTES) + BODY[:-1])


def _whole(sock, aim):
    sock.sendall(aim.with_length(BODY_BYTES) + BODY)


def _chunked(sock, aim):
    sock.sendall(aim.head('Transfer-Encoding: chunked'))
    chunk = b'%x\r\n%s\r\n' % (CHUNK_BYTES, BODY[:CHUNK_BYTES])
    for _ in range(BODY_BYTES // CHUNK_BYTES):
        sock.sendall(chunk)


def _pieces(sock, aim):
    sock.sendall(aim.with_length(BODY_BYTES))
    for start in range(0, BODY_BYTES - PIECE_BYTES, PIECE_BYTES):
        sock.sendall(BODY[start : start + PIECE_BYTES])


def _one_byte_chunks(sock, aim):
    sock.sendall(aim.head('Transfer-Encoding: chunked'))
    sock.sendall(b'1\r\nx\r\n' * ONE_BYTE_CHUNKS)


def _over_limit(sock, aim):
    sock.sendall(aim.with_length(400_000_000) + BODY)


def _many_fields(sock, aim):
    lines = ['a:b'] * FIELDS
    # The whole head stays under the limit of 16,384 bytes.
    sock.sendall(aim.head('Content-Length: 100', *lines) + BODY[:99])


def _ahead(sock, aim):
    sock.sendall(aim.with_length(0) * REQUESTS_AHEAD)


def _half_head(sock, aim):
    sock.sendall(
        f'POST {aim.path} HTTP/1.1\r\nHost: '.encode().ljust(40, b'x')
    )


def _half_body(sock, aim):
    sock.sendall(aim.with_length(2000) + BODY[:1000])


def _frame(sock, aim):
    sock.sendall(struct.pack('>I', FRAME_BYTES) + BODY[: FRAME_BYTES - 1])


def _request(sock, aim):
    sock.sendall(aim.with_length(0))


def _read_bytes(sock, aim):
    _request(sock, aim)
    while sock.recv(1):
        gevent.sleep(0.1)


LOADS = {
    'a body of 4 MiB without its last byte': _short,
    'a whole body of 4 MiB': _whole,
    'a chunked body without its last chunk': _chunked,
    'a body of 4 MiB in small pieces': _pieces,
    'a body in chunks of one byte': _one_byte_chunks,
    '4 MiB of a body declared as 400 MB': _over_limit,
    '3000 fields and a body short of a byte': _many_fields,
    '4000 requests without reading': _ahead,
    'half a head': _half_head,
    'half a body': _half_body,
    'nothing': lambda sock, aim: None,
    'all but a byte of a frame': _frame,
    'a request for 2 MB without reading': _request,
    'a request for 2 MB and read by byte': _read_bytes,
}


def send(stack, count, load, aim):
    """Let clients send; their connections stay open until the stack closes.

    :param load: a key of ``LOADS``.
    """
    socks, tasks = [], []
    for _ in range(count):
        sock = socket.socket()
        stack.callback(sock.close)
        socks.append(sock)
        tasks.append(gevent.spawn(_run, sock, load, aim))
    stack.callback(gevent.killall, tasks)
    gevent.joinall(tasks, CROWD_SECONDS)


def _run(sock, load, aim):
    with contextlib.suppress(OSError):
        sock.settimeout(WRITE_SECONDS)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.connect(tuple(aim.where))
        LOADS[load](sock, aim)


class Resources:
    """The largest numbers of a process: memory in bytes, and descriptors."""

    def __init__(self, pid):
        self._folder = pathlib.Path('/proc', str(pid))
        self.descriptors = 0
        self._task = gevent.spawn(self._sample)

    def _sample(self):
        while True:
            with contextlib.suppress(OSError):
                count = len(os.listdir(self._folder / 'fd'))
                self.descriptors = max(self.descriptors, count)
            gevent.sleep(SAMPLE_SECONDS)

    def close(self):
        self._task.kill()

    @property
    def peak_bytes(self):
        """The resident peak since the start of the process."""
        for line in (self._folder / 'status').read_text().splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * 1024
        raise AssertionError('no resident peak: the process has ended')

    def check(self, memory_bytes, descriptors):
        """Assert that the process has stayed within its bounds."""
        peak = self.peak_bytes
        figures = f'{peak / 1e6:.1f} MB, {self.descriptors} descriptors'
        print(figures)
        assert peak <= memory_bytes, figures
        assert self.descriptors <= descriptors, figures
