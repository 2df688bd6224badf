"""The server side of a caller's HTTP connection."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import enum
import socket
import time
import typing

import gevent
from gevent import socket as cooperative
import h11

from kingcupfront_core import block_buffer
from kingcupfront_core import caller_budget
from kingcupfront_core import switching_socket
from kingcupfront_gateway import errors
from kingcupfront_gateway import objects
from kingcupfront_gateway import sockets
from kingcupfront_gateway import tasks

READ_BYTES = 16384
# What a caller may send ahead of the response that it waits for.
MAX_PIPELINED_BYTES = 16384
# A body or a response may take the idle time-out and the time for its bytes at
# this rate: some 40 callers that share a link of 10 Mbit/s are faster.
MIN_BYTES_PER_SECOND = 32 * 1024
# Smaller chunks, on average, get no time beyond the idle time-out: they cost
# work rather than the capacity of a link.
MIN_PART_BYTES = 64
# What is read at once before a connection is closed to make room.
MAX_DISCARDED_BYTES = 65536
# A larger body is written by itself, since joining it to the head copies it.
MAX_JOINED_BYTES = 16384
BODILESS_STATUSES = frozenset({204, 304})
# How long a connection is read after its last response. Closing it with unread
# bytes resets it, and the caller may lose the end of the response.
LINGER_SECONDS = 1.0
# How long after a caller has closed its side its request may still be sent.
# The platform counts what reaches a target after half a second.
LATEST_SEND_SECONDS = 0.2
SEND_POLL_SECONDS = 0.02


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


STAGES_BY_PHASE = {
    Phase.IDLE: caller_budget.Stage.IDLE,
    Phase.READING: caller_budget.Stage.READING,
    Phase.SERVING: caller_budget.Stage.SERVING,
    Phase.CLOSING: caller_budget.Stage.CLOSING,
}


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
    # Why the head alone refuses the request, whose body was not kept.
    refusal: Exception | None = None

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
    :param check_head: returns why a request without its body is refused, or
        None; the body of one that is refused is not kept.
    :param allowed_idle_seconds: returns for how many seconds in all a
        connection may be idle that is idle for some seconds; None for the
        idle time-out of the current limits.
    """

    def __init__(
        self,
        sock: cooperative.socket,
        current_limits: Callable[[], objects.CallerLimits],
        is_ending: Callable[[], bool] = lambda: False,
        check_head: Callable[[Request], Exception | None] = lambda _: None,
        allowed_idle_seconds: Callable[[float], float] | None = None,
    ) -> None:
        self._sock = sock
        self._current_limits = current_limits
        self._is_ending = is_ending
        self._check_head = check_head
        self._allowed_idle_seconds = allowed_idle_seconds or (
            lambda _: current_limits().idle_timeout
        )
        self._task = gevent.getcurrent()
        self._account: caller_budget.Account | None = None
        self._drop_cause: caller_budget.Cause | None = None
        # What the account counts, in bytes.
        self._head_size = 0
        self._body_size = 0
        self._ahead_size = 0
        self._response_size = 0
        self._phase = Phase.IDLE
        self._limits = current_limits()
        self._protocol = self._new_protocol()
        self._is_bodiless = False
        self._event_counter = switching_socket.EventCounter()
        self._byte_counter = switching_socket.ByteCounter()
        # Whether the length of the body is in the head.
        self._has_declared_length = False
        self.response_started = True
        # Whether a write has not come to its end; if it was interrupted, the
        # caller would take further bytes for the rest of the response.
        self._is_writing = False
        # Whether a task that serves a request may be interrupted.
        self._is_interruptible = False
        # Returns whether the request that is served has been sent and is to be
        # completed even if the caller closes its side; None if it is not.
        self.is_sent: Callable[[], bool] | None = None
        # When the caller closed its side while it waited for a response.
        self._closed_at: float | None = None

    def _new_protocol(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )

    @contextlib.contextmanager
    def counted(self, to: caller_budget.Address) -> Iterator[bool]:
        """Count the connection among those to an address, in the block.

        :returns: whether there is room for it.
        """
        with to.open(self._drop) as account:
            self._account = account
            if account is None:
                # It gets a response before anything is read.
                self.response_started = False
                self._drop_cause = caller_budget.Cause.CONNECTIONS
            try:
                yield account is not None
            finally:
                self._account = None

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""
        return self._phase

    @phase.setter
    def phase(self, phase: Phase) -> None:
        self._phase = phase
        if self._account is not None:
            self._account.enter(STAGES_BY_PHASE[phase])

    def _update_account(self) -> None:
        if self._account is not None:
            self._account.resize(
                self._head_size
                + self._body_size
                + self._ahead_size
                + self._response_size
            )

    def _drop(self, cause: caller_budget.Cause) -> bool:
        """End the request or the connection; return whether it will end."""
        if self.phase is Phase.READING:
            self._drop_cause = cause
            self._interrupt_if(lambda: self.phase is Phase.READING, cause)
            return True
        if cause is caller_budget.Cause.MEMORY:
            if not self._is_droppable:
                return False
            self._interrupt_if(lambda: self._is_droppable, cause)
            return True
        if self.phase is Phase.SERVING or (
            self.phase is Phase.IDLE and self._has_unread_bytes
        ):
            return False
        self._drop_cause = cause
        with contextlib.suppress(OSError):
            # Ends the task that waits for bytes.
            self._sock.shutdown(socket.SHUT_RDWR)
        return True

    @property
    def _is_droppable(self) -> bool:
        """Whether the request that is served may be interrupted now."""
        return self.phase is Phase.SERVING and (
            self._is_writing or self.awaits_response
        )

    def _interrupt_if(
        self, condition: Callable[[], bool], cause: caller_budget.Cause
    ) -> None:
        tasks.interrupt_if(
            self._task, condition, errors.OverBudgetError(str(cause))
        )

    def _raise_if_dropped(self) -> None:
        if self._drop_cause is not None:
            raise errors.OverBudgetError(str(self._drop_cause))

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
        self._head_size = self._body_size = self._response_size = 0
        self._update_account()
        if self._account is not None:
            self._account.is_dropped = False

    def read_request(self) -> Request | None:
        """Read the next request.

        :returns: the request, or None if the caller closed the connection
            or stayed idle.
        :raises MalformedRequestError: if it is not a valid request, is too
            large or arrives too slowly.
        :raises CallerLeftError: if the caller disconnects within it.
        :raises OverBudgetError: if the memory or the connections for callers
            are used up and this connection is to make room.
        """
        self.phase = Phase.IDLE
        self._is_bodiless = False
        self.is_sent = None
        self.response_started = False
        head = self._read_request_head()
        if head is None:
            return None
        request = Request(
            head.method.decode('ascii'),
            head.target.decode('latin-1'),
            tuple(head.headers.raw_items()),
            b'',
        )
        self._count_head(request)
        refusal = self._check_head(request)
        if refusal is None or not self._awaits_continue:
            body = self._read_body(head, refusal is None)
            request = dataclasses.replace(request, body=body, refusal=refusal)
        else:
            request = dataclasses.replace(request, refusal=refusal)
        self._is_bodiless = head.method == b'HEAD'
        self._ahead_size = 0
        self._update_account()
        self.phase = Phase.SERVING
        return request

    def _count_head(self, request: Request) -> None:
        self._head_size = len(request.target) + sum(
            len(name) + len(value) + caller_budget.FIELD_BYTES
            for name, value in request.headers
        )
        self._update_account()
        self._raise_if_dropped()

    @property
    def _awaits_continue(self) -> bool:
        return self._protocol.they_are_waiting_for_100_continue

    def _read_request_head(self) -> h11.Request | None:
        if self._protocol.trailing_data[0]:
            self.phase = Phase.READING
            # Requests that were sent ahead would keep others waiting.
            switching_socket.switch_tasks()
        else:
            data = self._await_request()
            if not data:
                return None
            self._protocol.receive_data(data)
        self._renew_limits()
        self.phase = Phase.READING
        self._ahead_size = READ_BYTES
        self._update_account()
        self._raise_if_dropped()
        try:
            with gevent.Timeout(self._limits.header_timeout):
                event = self._next_event()
        except gevent.Timeout as error:
            raise errors.MalformedRequestError(
                f'no complete header within {self._limits.header_timeout} s',
                408,
            ) from error
        if not isinstance(event, h11.Request):
            return None
        self._check_header_size(event)
        return event

    def _await_request(self) -> bytes:
        """Return the first bytes of a request; none if the caller is idle.

        The idle time-out may be raised meanwhile, also since the request
        before began: callers keep to the one in force.
        """
        start = time.monotonic()
        while True:
            idle_seconds = time.monotonic() - start
            left = self._allowed_idle_seconds(idle_seconds) - idle_seconds
            if left <= 0:
                # A busy process handles the time-out late, and bytes of a
                # request may have arrived since.
                return self._receive() if self._has_unread_bytes else b''
            with gevent.Timeout(left, False):
                return self._receive()

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

    def _read_body(self, head: h11.Request, is_kept: bool) -> bytes:
        """Read a body; return nothing of it if it is not kept."""
        self._refuse_declared_length(head)
        if self._awaits_continue:
            self._write_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        body = block_buffer.BlockBuffer()
        try:
            self._read_body_into(body if is_kept else None)
            return body.take()
        except BaseException:
            # The error refers to the frames that hold the body, and is at
            # hand while the caller gets its response.
            body.clear()
            raise
        finally:
            self._sock.settimeout(None)

    def _read_body_into(self, body: block_buffer.BlockBuffer | None) -> None:
        limits, size, parts = self._limits, 0, 0
        start = time.monotonic()
        while True:
            allowed = limits.idle_timeout
            if self._has_declared_length or size >= parts * MIN_PART_BYTES:
                allowed += size / MIN_BYTES_PER_SECOND
            left = start + allowed - time.monotonic()
            if left <= 0:
                self._raise_slow_body(size)
            self._sock.settimeout(min(left, limits.idle_timeout))
            try:
                event = self._next_event()
            except TimeoutError:
                self._raise_slow_body(size)
            self._raise_if_dropped()
            if isinstance(event, h11.Data):
                size += len(event.data)
                parts += 1
                if size > limits.body_bytes:
                    raise errors.MalformedRequestError(
                        f'the body is over {limits.body_bytes} bytes', 413
                    )
                if body is not None:
                    body.append(event.data)
                    self._body_size = size
                    self._update_account()
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise errors.CallerLeftError(
                    f'caller disconnected after {size} bytes of the body'
                )

    def _raise_slow_body(self, size: int) -> typing.NoReturn:
        raise errors.MalformedRequestError(
            f'no complete body: {size} bytes arrived, at least '
            f'{MIN_BYTES_PER_SECOND} per second are to after '
            f'{self._limits.idle_timeout} s',
            408,
        )

    def _refuse_declared_length(self, head: h11.Request) -> None:
        """Refuse a body by its length before any of it is read."""
        self._has_declared_length = False
        for name, value in head.headers:
            if name == b'content-length':
                self._has_declared_length = True
                if int(value) > self._limits.body_bytes:
                    raise errors.MalformedRequestError(
                        f'the body of {int(value)} bytes is over '
                        f'{self._limits.body_bytes} bytes',
                        413,
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
            data = self._receive()
            self._byte_counter.count(len(data))
            self._protocol.receive_data(data)

    @property
    def _is_input_closed(self) -> bool:
        return self._protocol.trailing_data[1]

    def _receive(self) -> bytes:
        try:
            return self._sock.recv(READ_BYTES)
        except OSError as error:
            if isinstance(error, TimeoutError) and error.errno is None:
                # The time-out of the socket, not one of the kernel.
                raise
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
        pipelined_bytes = len(self._protocol.trailing_data[0])
        while pipelined_bytes < MAX_PIPELINED_BYTES:
            data, is_reset = b'', False
            try:
                data = self._sock.recv(READ_BYTES)
            except OSError:
                is_reset = True
            if not data:
                if is_reset or not self._completes_request():
                    worker.kill(
                        errors.CallerLeftError('caller closed its connection'),
                        block=False,
                    )
                return
            pipelined_bytes += len(data)
            self._protocol.receive_data(data)
            self._ahead_size = pipelined_bytes
            self._update_account()

    def _completes_request(self) -> bool:
        """Return whether the request goes on after the caller's last byte.

        A caller that has left looks like one that waits for its answer.
        """
        self._closed_at = time.monotonic()
        if self.is_sent is None:
            return False
        while not self.is_sent():
            if self._is_send_late:
                return False
            gevent.sleep(SEND_POLL_SECONDS)
        return True

    @property
    def _is_send_late(self) -> bool:
        return (
            self._closed_at is not None
            and time.monotonic() - self._closed_at > LATEST_SEND_SECONDS
        )

    def raise_if_left(self) -> None:
        """Raise if it is too late to send the request, as the caller closed.

        :raises CallerLeftError: nothing is to be sent then.
        """
        if self._is_send_late:
            raise errors.CallerLeftError('caller has closed its side')

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
        :raises LocalProtocolError: if the HTTP library refuses it; nothing
            was written then.
        """
        headers = list(headers)
        if status not in BODILESS_STATUSES and not self._is_bodiless:
            headers.append((b'Content-Length', str(len(body)).encode()))
        # A body that was not asked for may not come, so where the next request
        # would begin is not known.
        if (
            close
            or self._awaits_continue
            or self._closed_at is not None
            or self._is_last_response
        ):
            headers.append((b'Connection', b'close'))
        parts = [self._protocol.send(_response(status, headers)) or b'']
        if not self._is_bodiless and body:
            parts.append(self._protocol.send(h11.Data(data=body)) or b'')
        parts.append(self._protocol.send(h11.EndOfMessage()) or b'')
        if len(body) <= MAX_JOINED_BYTES:
            parts = [b''.join(parts)]
        self.response_started = True
        self._send_bytes(*parts)

    def send_bare_response(self, status: int) -> None:
        """Write a response without a body, as the last one.

        The HTTP library has no part in it: after an error of its own use it
        refuses everything.
        """
        self.response_started = True
        self._send_bytes(
            b'HTTP/1.1 %d \r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
            % status
        )

    def start_stream(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Write the head of a response of unknown length."""
        headers = [*headers, (b'Transfer-Encoding', b'chunked')]
        if self._is_last_response:
            headers.append((b'Connection', b'close'))
        data = self._protocol.send(_response(status, headers)) or b''
        self.response_started = True
        self._send_bytes(data)

    def send_data(self, data: bytes) -> None:
        """Write a part of the stream."""
        self._write_event(h11.Data(data=data))

    def end_stream(self) -> None:
        """End the stream as complete."""
        self._write_event(h11.EndOfMessage())

    def _write_event(self, event: object) -> None:
        self._send_bytes(self._protocol.send(event) or b'')

    def _send_bytes(self, *parts: bytes) -> None:
        if self._is_writing:
            raise errors.CallerLeftError('an earlier write was interrupted')
        self._is_writing = True
        size = sum(map(len, parts))
        seconds = self._limits.idle_timeout + size / MIN_BYTES_PER_SECOND
        self._response_size = size
        self._update_account()
        try:
            with gevent.Timeout(
                seconds,
                errors.CallerLeftError(
                    f'{size} bytes were not read within {seconds:.0f} s'
                ),
            ):
                for part in parts:
                    if part:
                        self._sock.sendall(part)
        except OSError as error:
            raise errors.CallerLeftError(str(error)) from error
        self._is_writing = False
        self._response_size = 0
        self._update_account()

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
            if self._drop_cause is caller_budget.Cause.CONNECTIONS:
                self._discard_received()
            elif has_response:
                self._discard_input()
        except OSError:
            pass  # The caller has closed it already.
        finally:
            self._sock.close()

    def _discard_input(self) -> None:
        """Read what the caller still sends until it closes, for a while."""
        with gevent.Timeout(LINGER_SECONDS, False):
            while data := self._sock.recv(READ_BYTES):
                self._byte_counter.count(len(data))

    def _discard_received(self) -> None:
        """Read what has arrived, without waiting for more."""
        self._sock.setblocking(False)
        for _ in range(MAX_DISCARDED_BYTES // READ_BYTES):
            if not self._sock.recv(READ_BYTES):
                return

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
