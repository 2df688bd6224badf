"""Calls between entry processes over TCP, one task for each connection."""

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
from kingcupfront_core import caller_budget
from kingcupfront_core import errors as core_errors
from kingcupfront_core import registry
from kingcupfront_core import switching_socket
from kingcupfront_peer import codec
from kingcupfront_peer import errors
from kingcupfront_peer import replay

LOG = logging.getLogger(__name__)
LENGTH_PREFIX = struct.Struct('>I')
CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_TIMEOUT_SECONDS = 60.0
FRAME_TIMEOUT_SECONDS = 10.0
HANDSHAKE_TIMEOUT_SECONDS = 5.0
MAX_CONNECTIONS = 512
REFUSAL_LOG_INTERVAL_SECONDS = 1.0
MAX_READ_BYTES = 65536
# Below the size of the pool, so that a new connection is not kept waiting.
MAX_SERVED_CONNECTIONS = MAX_CONNECTIONS // 2
# Connections accepted at a time: each may have to wait for another to close.
MAX_ACCEPTS = 10
# What the object of one piece of a frame takes beside its bytes.
PIECE_BYTES = 64
INCARNATION_RANDOM_BITS = 20

Handler = typing.Callable[[codec.Message], bytes]


def new_incarnation() -> int:
    """Return an incarnation: a unique number that grows with each start.

    The upper bits are the milliseconds since the epoch and the lower ones are
    random, so that peers tell a process from the one that it replaced.
    """
    return (
        time.time_ns() // 1_000_000 << INCARNATION_RANDOM_BITS
    ) | secrets.randbits(INCARNATION_RANDOM_BITS)


class Link:
    """A process's endpoint for messages: answers peers and calls them.

    Handlers are registered by message kind:

    >>> link = Link('entry-1', codec.Codec(['secret']))
    >>> @link.handlers.register('echo')
    ... def echo(message):
    ...     return message.body

    :param instance: the instance name of this process.
    :param frame_codec: the codec of the frames.
    :param server_context: the TLS context of the listener; None is plain TCP.
    :param client_context: the TLS context of calls; None is plain TCP.
    :param budget: bounds what peers may take of the process; None is a budget
        of its own.
    """

    def __init__(
        self,
        instance: str,
        frame_codec: codec.Codec,
        *,
        server_context: ssl.SSLContext | None = None,
        client_context: ssl.SSLContext | None = None,
        budget: caller_budget.CallerBudget | None = None,
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
        self._refusal_logged_at = -REFUSAL_LOG_INTERVAL_SECONDS
        self._numbers = itertools.count(1)
        self._peers = caller_budget.Address(
            budget or caller_budget.CallerBudget(),
            caller_budget.PEERS_PART,
            MAX_SERVED_CONNECTIONS,
        )

    @contextlib.contextmanager
    def listening(self, where: address.Address) -> Iterator[address.Address]:
        """Answer peers while the block runs.

        :param where: the address to bind; port 0 picks a free port.
        :returns: the address that was bound.
        """
        connections = pool.Pool(MAX_CONNECTIONS)
        options: dict[str, typing.Any] = {}
        if self._server_context is not None:
            options['ssl_context'] = self._server_context
        listener = _Server(
            tuple(where), self._serve, spawn=connections, **options
        )
        listener.max_accept = MAX_ACCEPTS
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
        """Send a request and return the peer's answer.

        :param peer: the address of the peer's listener.
        :param kind: the message kind.
        :param body: the encoded struct of that kind.
        :param timeout_seconds: the time limit of the whole call.
        :param audience: the only incarnation that may accept it; 0 is any.
        :raises PeerError: if there is no answer or it reports an error;
            ``sent`` says whether any byte may have been sent.
        :raises FrameError: if the answer is damaged or belongs to another
            request.
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
            raise errors.PeerError(
                f'{peer} did not answer within {timeout_seconds:g} s',
                sent=sent,
            ) from error
        except OSError as error:
            raise errors.PeerError(f'{peer}: {error}', sent=sent) from error
        finally:
            own_timeout.close()
        if answer.number != request.number or answer.kind != kind:
            raise errors.FrameError(
                f'{peer} answered {answer.kind} request {answer.number} '
                f'instead of {kind} request {request.number}'
            )
        if answer.failure:
            raise errors.PeerError(
                f'{peer} answered with error {answer.failure}', sent=True
            )
        return answer

    def next_number(self) -> int:
        """Return an unused message number."""
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
        :param number: the number of the request that it answers; 0 takes a
            new number.
        :param failure: in an answer to a failed request, the error's code.
        :param audience: the only incarnation that may accept it; 0 is any.
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
        """Decode a received frame, check it and return its message.

        :param frame: the frame.
        :raises FrameError: if it is damaged or not authentic.
        :raises ReplayError: if it was received before or is for another
            process.
        """
        message = self.frame_codec.decode(frame)
        if message.audience not in (0, self.incarnation):
            raise errors.ReplayError(
                f'frame is for incarnation {message.audience}, not for '
                f'{self.incarnation}'
            )
        self.replay_window.record(
            message.sender, message.incarnation, message.number
        )
        return message

    def record_refusal(self, error: core_errors.KingcupfrontError) -> None:
        """Count a refused frame and log refusals at a limited rate.

        :param error: the reason for the refusal.
        """
        self.refused_frames += 1
        now = time.monotonic()
        if now < self._refusal_logged_at + REFUSAL_LOG_INTERVAL_SECONDS:
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

        def drop(_: caller_budget.Cause) -> bool:
            if account.stage is caller_budget.Stage.SERVING:
                return False
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            return True

        with self._peers.open(drop) as account:
            if account is not None:
                self._serve_all(sock, account)

    def _serve_all(
        self, sock: socket.socket, account: caller_budget.Account
    ) -> None:
        try:
            while True:
                request = self.accept(_receive(sock, account))
                account.enter(caller_budget.Stage.SERVING)
                _send(sock, self.frame_codec.encode(self._answer(request)))
                account.enter(caller_budget.Stage.IDLE)
                account.resize(0)
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
    sock.sendall(LENGTH_PREFIX.pack(len(frame)) + frame)


def _receive(
    sock: socket.socket, account: caller_budget.Account | None = None
) -> bytes:
    size = LENGTH_PREFIX.unpack(_receive_exactly(sock, LENGTH_PREFIX.size))[0]
    if account is not None:
        account.enter(caller_budget.Stage.READING)
    if size > codec.MAX_FRAME_BYTES:
        raise errors.FrameError(
            f'frame too large: {size} bytes, at most {codec.MAX_FRAME_BYTES}'
        )
    timeout = TimeoutError(
        f'frame of {size} bytes did not arrive in {FRAME_TIMEOUT_SECONDS:g} s'
    )
    with gevent.Timeout(FRAME_TIMEOUT_SECONDS, timeout):
        return _receive_exactly(sock, size, account)


def _receive_exactly(
    sock: socket.socket,
    size: int,
    account: caller_budget.Account | None = None,
) -> bytes:
    chunks = []
    byte_counter = switching_socket.ByteCounter()
    while size:
        chunk = sock.recv(min(size, MAX_READ_BYTES))
        if not chunk:
            raise ConnectionResetError(
                f'peer closed the connection with {size} bytes missing'
            )
        chunks.append(chunk)
        size -= len(chunk)
        byte_counter.count(len(chunk))
        if account is not None:
            account.resize(account.size + len(chunk) + PIECE_BYTES)
    return b''.join(chunks)
