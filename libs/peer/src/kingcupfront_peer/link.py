"""Calls to other entry processes over TCP, one task for each connection."""

from collections.abc import Iterator
import contextlib
import itertools
import logging
import secrets
import ssl
import struct
import time
import typing

import capnp
import gevent
from gevent import pool
from gevent import server
from gevent import socket

from kingcupfront_core import address
from kingcupfront_core import errors as core_errors
from kingcupfront_core import registry
from kingcupfront_peer import codec
from kingcupfront_peer import errors
from kingcupfront_peer import replay

LOG = logging.getLogger(__name__)
LENGTH = struct.Struct('>I')
CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_TIMEOUT_SECONDS = 60.0
FRAME_TIMEOUT_SECONDS = 10.0
HANDSHAKE_TIMEOUT_SECONDS = 5.0
MAX_CONNECTIONS = 512
REFUSAL_LOG_SECONDS = 1.0
READ_BYTES = 65536
RANDOM_BITS = 20

Handler = typing.Callable[[codec.Message], bytes]


def new_incarnation() -> int:
    """Return a process number: unique, and growing from start to start.

    The upper bits are milliseconds since the epoch, the lower ones random,
    so that peers tell a process from the one that it replaced.
    """
    return (time.time_ns() // 1_000_000 << RANDOM_BITS) | secrets.randbits(
        RANDOM_BITS
    )


class Link:
    """Answers peers and calls them.

    Handlers are registered by message kind:

    >>> link = Link('entry-1', codec.Codec(['secret']))
    >>> @link.handlers.register('echo')
    ... def echo(message):
    ...     return message.body

    :param instance: the own instance's name.
    :param frames: the codec.
    :param server_context: TLS of the listener; none means plain TCP.
    :param client_context: TLS of calls; none means plain TCP.
    """

    def __init__(
        self,
        instance: str,
        frame_codec: codec.Codec,
        *,
        server_context: ssl.SSLContext | None = None,
        client_context: ssl.SSLContext | None = None,
    ) -> None:
        self.instance = instance
        self._server_context = server_context
        self._client_context = client_context
        self.incarnation = new_incarnation()
        self.handlers: registry.Registry[Handler] = registry.Registry(
            'message kind'
        )
        self.address: address.Address | None = None
        self.frame_codec = frame_codec
        self.replay_window = replay.ReplayWindow()
        self.refused_frames = 0
        self._refusal_logged_at = -REFUSAL_LOG_SECONDS
        self._numbers = itertools.count(1)

    @contextlib.contextmanager
    def listening(self, where: address.Address) -> Iterator[address.Address]:
        """Answer peers while the block runs.

        :param where: where to listen; port 0 picks a free one.
        :returns: the address that was bound.
        """
        connections = pool.Pool(MAX_CONNECTIONS)
        options: dict[str, typing.Any] = {}
        if self._server_context is not None:
            options['ssl_context'] = self._server_context
        listener = _Server(
            tuple(where), self._serve, spawn=connections, **options
        )
        listener.start()
        self.address = address.Address(where.host, listener.server_port)
        try:
            yield self.address
        finally:
            listener.stop(timeout=0)

    def call(
        self,
        peer: address.Address,
        kind: str,
        body: bytes,
        timeout_seconds: float,
        *,
        audience: int = 0,
    ) -> codec.Message:
        """Send a message and return the peer's answer.

        :param peer: where the peer listens.
        :param kind: the message kind.
        :param body: the encoded struct of that kind.
        :param timeout_seconds: bound on the whole call, in seconds.
        :param audience: the incarnation that alone may take it; 0 is any.
        :raises PeerError: if there is no answer; ``sent`` says whether
            anything may have left.
        :raises FrameError: if the answer is damaged.
        """
        request = self.build_message(kind, body, audience=audience)
        frame = self.frame_codec.encode(request)
        sent = False
        own_timeout = gevent.Timeout.start_new(timeout_seconds)
        try:
            with contextlib.closing(
                _connect(peer, timeout_seconds, self._client_context)
            ) as sock:
                sent = True
                _send(sock, frame)
                answer = self.frame_codec.decode(_receive(sock))
        except gevent.Timeout as error:
            if error is not own_timeout:
                raise
            raise errors.PeerError(f'{peer}: timeout', sent=sent) from error
        except OSError as error:
            raise errors.PeerError(f'{peer}: {error}', sent=sent) from error
        finally:
            own_timeout.close()
        if answer.number != request.number or answer.kind != kind:
            raise errors.FrameError('an answer to another call')
        if answer.failure:
            raise errors.PeerError(f'{peer}: {answer.failure}', sent=True)
        return answer

    def next_number(self) -> int:
        """Return the number of the next message."""
        return next(self._numbers)

    def build_message(
        self,
        kind: str,
        body: bytes,
        *,
        number: int = 0,
        failure: str = '',
        audience: int = 0,
    ) -> codec.Message:
        """Return a message from this process.

        :param kind: the message kind.
        :param body: the encoded struct of that kind.
        :param number: of the request that it answers; 0 takes a new one.
        :param failure: the code of the error, in an answer that failed.
        :param audience: the incarnation that alone may take it; 0 is any.
        """
        number = number or self.next_number()
        return codec.Message(
            self.instance,
            self.incarnation,
            number,
            kind,
            body,
            failure,
            audience,
        )

    def accept(self, frame: bytes) -> codec.Message:
        """Return the message of a frame that may be acted on.

        :param frame: what a peer sent.
        :raises FrameError: if it is damaged or not authenticated.
        :raises ReplayError: if it came before or is for another process.
        """
        message = self.frame_codec.decode(frame)
        if message.audience not in (0, self.incarnation):
            raise errors.ReplayError('a frame for another process')
        self.replay_window.record(
            message.sender, message.incarnation, message.number
        )
        return message

    def record_refusal(self, error: core_errors.KingcupfrontError) -> None:
        """Count a frame that was not acted on; log at a bounded rate."""
        self.refused_frames += 1
        now = time.monotonic()
        if now < self._refusal_logged_at + REFUSAL_LOG_SECONDS:
            return
        self._refusal_logged_at = now
        LOG.warning(
            'frame_refused',
            extra={
                'code': error.code,
                'reason': str(error),
                'count': self.refused_frames,
            },
        )

    def _serve(self, sock: socket.socket, source: typing.Any) -> None:
        sock.settimeout(IDLE_TIMEOUT_SECONDS)
        try:
            while True:
                request = self.accept(_receive(sock))
                _send(sock, self.frame_codec.encode(self._answer(request)))
        except core_errors.BadInputError as error:
            self.record_refusal(error)
        except OSError as error:
            LOG.debug('connection_ended', extra={'reason': str(error)})

    def _answer(self, request: codec.Message) -> codec.Message:
        failure, body = '', b''
        try:
            body = self.handlers.get(request.kind)(request)
        except core_errors.KingcupfrontError as error:
            failure = error.code
        except (
            capnp.KjException,
            ValueError,
            TypeError,
            LookupError,
            AttributeError,
        ) as error:
            LOG.exception('handler_failed', extra={'kind': request.kind})
            failure = getattr(error, 'code', 'internal_error')
        return self.build_message(
            request.kind,
            body,
            number=request.number,
            failure=failure,
            audience=request.incarnation,
        )


class _Server(server.StreamServer):
    def wrap_socket_and_handle(
        self, client_socket: typing.Any, where: typing.Any
    ) -> typing.Any:
        client_socket.settimeout(HANDSHAKE_TIMEOUT_SECONDS)
        try:
            return super().wrap_socket_and_handle(client_socket, where)
        except OSError as error:
            LOG.debug('handshake_failed', extra={'reason': str(error)})
            client_socket.close()
            return None


def _connect(
    peer: address.Address,
    timeout_seconds: float,
    context: ssl.SSLContext | None = None,
) -> socket.socket:
    family = socket.AF_INET6 if ':' in peer.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.settimeout(min(CONNECT_TIMEOUT_SECONDS, timeout_seconds))
        sock.connect(tuple(peer))
        if context is not None:
            sock = context.wrap_socket(sock)
        sock.settimeout(timeout_seconds)
    except BaseException:
        sock.close()
        raise
    return sock


def _send(sock: socket.socket, frame: bytes) -> None:
    sock.sendall(LENGTH.pack(len(frame)) + frame)


def _receive(sock: socket.socket) -> bytes:
    size = LENGTH.unpack(_exactly(sock, LENGTH.size))[0]
    if size > codec.MAX_FRAME_BYTES:
        raise errors.FrameError(f'a frame of {size} bytes')
    slow = TimeoutError('a frame took too long')
    with gevent.Timeout(FRAME_TIMEOUT_SECONDS, slow):
        return _exactly(sock, size)


def _exactly(sock: socket.socket, size: int) -> bytes:
    parts = []
    while size:
        part = sock.recv(min(size, READ_BYTES))
        if not part:
            raise ConnectionResetError('the peer closed the connection')
        parts.append(part)
        size -= len(part)
    return b''.join(parts)
