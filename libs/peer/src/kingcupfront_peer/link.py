"""Calls to other entry processes over TCP, one task for each connection."""

from collections.abc import Iterator
import contextlib
import itertools
import logging
import secrets
import struct
import typing

import gevent
from gevent import server
from gevent import socket

from kingcupfront_core import address
from kingcupfront_core import errors as core_errors
from kingcupfront_core import registry
from kingcupfront_peer import codec
from kingcupfront_peer import errors

LOG = logging.getLogger(__name__)
LENGTH = struct.Struct('>I')
CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_TIMEOUT_SECONDS = 60.0
INCARNATION_BITS = 63

Handler = typing.Callable[[codec.Message], bytes]


class Link:
    """Answers peers and calls them.

    Handlers are registered by message kind:

    >>> link = Link('entry-1', codec.Codec(['secret']))
    >>> @link.handlers.register('echo')
    ... def echo(message):
    ...     return message.body

    :param instance: the own instance's name.
    :param frames: the codec.
    """

    def __init__(self, instance: str, frames: codec.Codec) -> None:
        self.instance = instance
        self.incarnation = secrets.randbits(INCARNATION_BITS) | 1
        self.handlers: registry.Registry[Handler] = registry.Registry(
            'message kind'
        )
        self.address: address.Address | None = None
        self._frames = frames
        self._numbers = itertools.count(1)

    @contextlib.contextmanager
    def listening(self, where: address.Address) -> Iterator[address.Address]:
        """Answer peers while the block runs.

        :param where: where to listen; port 0 picks a free one.
        :returns: the address that was bound.
        """
        listener = server.StreamServer(tuple(where), self._serve)
        listener.start()
        self.address = address.Address(where.host, listener.server_port)
        try:
            yield self.address
        finally:
            listener.stop()

    def call(
        self,
        peer: address.Address,
        kind: str,
        body: bytes,
        timeout_seconds: float,
    ) -> codec.Message:
        """Send a message and return the peer's answer.

        :param peer: where the peer listens.
        :param kind: the message kind.
        :param body: the encoded struct of that kind.
        :param timeout_seconds: bound on the whole call, in seconds.
        :raises PeerError: if there is no answer; ``sent`` says whether
            anything may have left.
        :raises FrameError: if the answer is damaged.
        """
        sent = False
        try:
            with gevent.Timeout(timeout_seconds):
                with contextlib.closing(
                    socket.create_connection(
                        tuple(peer), CONNECT_TIMEOUT_SECONDS
                    )
                ) as sock:
                    sock.settimeout(timeout_seconds)
                    sent = True
                    request = self._message(kind, next(self._numbers), body)
                    _send(sock, self._frames.encode(request))
                    answer = self._frames.decode(_receive(sock))
        except (OSError, gevent.Timeout) as error:
            raise errors.PeerError(f'{peer}: {error}', sent=sent) from error
        if answer.failure:
            raise errors.PeerError(f'{peer}: {answer.failure}', sent=True)
        return answer

    def _message(
        self, kind: str, number: int, body: bytes, failure: str = ''
    ) -> codec.Message:
        return codec.Message(
            self.instance, self.incarnation, number, kind, body, failure
        )

    def _serve(self, sock: socket.socket, source: typing.Any) -> None:
        sock.settimeout(IDLE_TIMEOUT_SECONDS)
        try:
            while True:
                request = self._frames.decode(_receive(sock))
                _send(sock, self._frames.encode(self._answer(request)))
        except errors.FrameError as error:
            LOG.warning('frame_refused', extra={'reason': str(error)})
        except OSError:
            pass

    def _answer(self, request: codec.Message) -> codec.Message:
        try:
            body = self.handlers.get(request.kind)(request)
        except core_errors.KingcupfrontError as error:
            return self._message(
                request.kind, request.number, failure=error.code, body=b''
            )
        return self._message(request.kind, request.number, body)


def _send(sock: socket.socket, frame: bytes) -> None:
    sock.sendall(LENGTH.pack(len(frame)) + frame)


def _receive(sock: socket.socket) -> bytes:
    size = LENGTH.unpack(_exactly(sock, LENGTH.size))[0]
    if size > codec.MAX_FRAME_BYTES:
        raise errors.FrameError(f'a frame of {size} bytes')
    return _exactly(sock, size)


def _exactly(sock: socket.socket, size: int) -> bytes:
    parts = []
    while size:
        part = sock.recv(min(size, 65536))
        if not part:
            raise ConnectionResetError('the peer closed the connection')
        parts.append(part)
        size -= len(part)
    return b''.join(parts)
