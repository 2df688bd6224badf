"""The server side of a caller's HTTP connection."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import enum
import socket

import gevent
from gevent import socket as cooperative
import h11

from kingcupfront_core import switching_socket
from kingcupfront_gateway import errors
from kingcupfront_gateway import objects
from kingcupfront_gateway import sockets

READ_BYTES = 16384
# What a caller may send ahead of the response that it waits for.
MAX_PIPELINED_BYTES = 65536
BODILESS_STATUSES = frozenset({204, 304})
# How long a connection is read after its last response. Closing it with unread
# bytes resets it, and the caller may lose the end of the response.
LINGER_SECONDS = 1.0


class Phase(enum.Enum):
    """What a connection is doing."""

    # No byte of a further request has been read.
    IDLE = 'idle'
    # A request has been read in part.
    READING = 'reading'
    # A request has been read and its response has not been written.
    SERVING = 'serving'
    # Nothing more is written.
    CLOSING = 'closing'


@dataclasses.dataclass(frozen=True)
class Request:
    """A complete request.

    :param target: the request target: path and query.
    :param headers: names as the caller spelled them, with values.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def path(self) -> str:
        """The request target without its query."""
        return self.target.partition('?')[0]

    @property
    def host(self) -> str:
        """The lower-case host that the caller named, without a port."""
        for name, value in self.headers:
            if name.lower() == b'host':
                return value.decode('latin-1').partition(':')[0].lower()
        return ''


class CallerConnection:
    """Reads requests from a connection and writes responses to it, in turn.

    :param sock: the connection.
    :param current_limits: returns the bounds on what the caller may send;
        those at the begin of a request hold for all of it.
    :param is_ending: returns whether a response should be the last one on
        the connection.
    """

    def __init__(
        self,
        sock: cooperative.socket,
        current_limits: Callable[[], objects.CallerLimits],
        is_ending: Callable[[], bool] = lambda: False,
    ) -> None:
        self._sock = sock
        self._current_limits = current_limits
        self._is_ending = is_ending
        self.phase = Phase.IDLE
        self._limits = current_limits()
        self._protocol = self._new_protocol()
        self._is_bodiless = False
        self._event_counter = switching_socket.EventCounter()
        self.response_started = True
        # Whether a write has not come to its end; if it was interrupted, the
        # caller would take further bytes for the rest of the response.
        self._is_writing = False
        # Whether a task that serves a request may be interrupted.
        self._is_interruptible = False

    def _new_protocol(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )

    @property
    def can_reuse(self) -> bool:
        """Whether another request may follow on this connection."""
        return (
            not self._is_writing
            and self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )

    @property
    def awaits_response(self) -> bool:
        """Whether a request is served whose response has not started."""
        return self._is_interruptible and not self.response_started

    def start_next_request(self) -> None:
        """Prepare for the next request on the same connection."""
        self._protocol.start_next_cycle()

    def read_request(self) -> Request | None:
        """Read the next request.

        :returns: the request, or None if the caller closed the connection
            or stayed idle.
        :raises MalformedRequestError: if it is not a valid request, is too
            large or arrives too slowly.
        :raises CallerLeftError: if the caller disconnects within it.
        """
        self.phase = Phase.IDLE
        self._is_bodiless = False
        self.response_started = False
        head = self._read_request_head()
        if head is None:
            return None
        try:
            with gevent.Timeout(self._limits.idle_timeout):
                body = self._read_body(head)
        except gevent.Timeout as error:
            raise errors.MalformedRequestError(
                f'no complete body within {self._limits.idle_timeout} s', 408
            ) from error
        self._is_bodiless = head.method == b'HEAD'
        self.phase = Phase.SERVING
        return Request(
            head.method.decode('ascii'),
            head.target.decode('latin-1'),
            tuple(head.headers.raw_items()),
            body,
        )

    def _read_request_head(self) -> h11.Request | None:
        with gevent.Timeout(self._limits.idle_timeout, False):
            if not self._protocol.trailing_data[0]:
                data = self._receive()
                if not data:
                    return None
                self._protocol.receive_data(data)
            self._renew_limits()
            self.phase = Phase.READING
            try:
                with gevent.Timeout(self._limits.header_timeout):
                    event = self._next_event()
            except gevent.Timeout as error:
                raise errors.MalformedRequestError(
                    f'no complete header within '
                    f'{self._limits.header_timeout} s',
                    408,
                ) from error
            if not isinstance(event, h11.Request):
                return None
            self._check_header_size(event)
            return event
        return None

    def _renew_limits(self) -> None:
        limits = self._current_limits()
        if limits == self._limits:
            return
        self._limits = limits
        # The bound of a header is fixed when its parser is made.
        data, is_input_closed = self._protocol.trailing_data
        self._protocol = self._new_protocol()
        self._protocol.receive_data(data)
        if is_input_closed:
            self._protocol.receive_data(b'')

    def _check_header_size(self, head: h11.Request) -> None:
        size = len(head.target) + sum(
            len(name) + len(value) for name, value in head.headers
        )
        if size > self._limits.header_bytes:
            raise errors.MalformedRequestError(
                f'the header of {size} bytes is over '
                f'{self._limits.header_bytes} bytes',
                431,
            )

    def _read_body(self, head: h11.Request) -> bytes:
        if self._protocol.they_are_waiting_for_100_continue:
            self._write_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        body = bytearray()
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.body_bytes:
                    raise errors.MalformedRequestError(
                        f'the body is over {self._limits.body_bytes} bytes',
                        413,
                    )
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise errors.CallerLeftError(
                    f'caller disconnected after {len(body)} bytes of the body'
                )

    def _next_event(self) -> object:
        while True:
            self._event_counter.count()
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                if (
                    self._protocol.their_state is h11.ERROR
                    and self._is_input_closed
                ):
                    raise errors.CallerLeftError(
                        'caller disconnected within a request'
                    ) from error
                raise errors.MalformedRequestError(
                    str(error), error.error_status_hint
                ) from error
            if event is not h11.NEED_DATA:
                return event
            self._protocol.receive_data(self._receive())

    @property
    def _is_input_closed(self) -> bool:
        return self._protocol.trailing_data[1]

    def _receive(self) -> bytes:
        try:
            return self._sock.recv(READ_BYTES)
        except OSError as error:
            raise errors.CallerLeftError(str(error)) from error

    @contextlib.contextmanager
    def cancel_on_disconnect(self) -> Iterator[None]:
        """Raise :class:`CallerLeftError` in the block on a disconnect."""
        worker = gevent.getcurrent()
        watcher = gevent.spawn(self._watch_for_disconnect, worker)
        self._is_interruptible = True
        try:
            yield
        finally:
            self._is_interruptible = False
            watcher.kill()

    def _watch_for_disconnect(self, worker: gevent.Greenlet) -> None:
        pipelined_bytes = 0
        while pipelined_bytes < MAX_PIPELINED_BYTES:
            try:
                data = self._sock.recv(READ_BYTES)
            except OSError:
                data = b''
            if not data:
                worker.kill(
                    errors.CallerLeftError('caller closed its connection'),
                    block=False,
                )
                return
            pipelined_bytes += len(data)
            self._protocol.receive_data(data)

    def send_response(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        *,
        close: bool = False,
    ) -> None:
        """Write a complete response.

        :param headers: its headers except for those of the framing.
        :param close: whether the connection closes after it in any case.
        """
        headers = list(headers)
        if status not in BODILESS_STATUSES and not self._is_bodiless:
            headers.append((b'Content-Length', str(len(body)).encode()))
        if close or self._is_last_response:
            headers.append((b'Connection', b'close'))
        data = self._protocol.send(_response(status, headers)) or b''
        if not self._is_bodiless and body:
            data += self._protocol.send(h11.Data(data=body)) or b''
        data += self._protocol.send(h11.EndOfMessage()) or b''
        self.response_started = True
        self._send_bytes(data)

    def start_stream(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Write the head of a response of unknown length."""
        headers = [*headers, (b'Transfer-Encoding', b'chunked')]
        if self._is_last_response:
            headers.append((b'Connection', b'close'))
        self.response_started = True
        self._write_event(_response(status, headers))

    def send_data(self, data: bytes) -> None:
        """Write a part of the stream."""
        self._write_event(h11.Data(data=data))

    def end_stream(self) -> None:
        """End the stream as complete."""
        self._write_event(h11.EndOfMessage())

    def _write_event(self, event: object) -> None:
        self._send_bytes(self._protocol.send(event) or b'')

    def _send_bytes(self, data: bytes) -> None:
        if self._is_writing:
            raise errors.CallerLeftError('an earlier write was interrupted')
        self._is_writing = True
        try:
            self._sock.sendall(data)
        except OSError as error:
            raise errors.CallerLeftError(str(error)) from error
        self._is_writing = False

    @property
    def _is_last_response(self) -> bool:
        """Whether the response that begins now is the last one.

        Not if the caller has sent a further request already.
        """
        has_further_request = bool(self._protocol.trailing_data[0])
        return self._is_ending() and not has_further_request

    def close(self) -> None:
        """Close the connection once all written bytes have been sent.

        A stream that was not ended lacks its last chunk, so the caller sees
        that it is incomplete.
        """
        has_response = self.phase is not Phase.IDLE
        self.phase = Phase.CLOSING
        try:
            self._sock.shutdown(socket.SHUT_WR)
            if has_response:
                self._discard_input()
        except OSError:
            pass  # The caller has closed it already.
        finally:
            self._sock.close()

    def _discard_input(self) -> None:
        """Read what the caller still sends until it closes, for a while."""
        with gevent.Timeout(LINGER_SECONDS, False):
            while self._sock.recv(READ_BYTES):
                self._event_counter.count()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is coming or served."""
        if self.phase is not Phase.IDLE or self._has_unread_bytes:
            return
        with contextlib.suppress(OSError):
            # Ends the task that waits for a request.
            self._sock.shutdown(socket.SHUT_RDWR)

    @property
    def _has_unread_bytes(self) -> bool:
        timeout = self._sock.gettimeout()
        try:
            return sockets.is_readable_or_closed(self._sock)
        finally:
            self._sock.settimeout(timeout)


def _response(status: int, headers: list[tuple[bytes, bytes]]) -> h11.Response:
    return h11.Response(status_code=status, headers=headers, reason=b'')
