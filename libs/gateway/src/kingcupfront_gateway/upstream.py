"""The client side of an HTTP connection to a target."""

from collections.abc import Iterator
import dataclasses

import gevent
from gevent import socket as cooperative
import h11

from kingcupfront_core import address
from kingcupfront_core import switching_socket
from kingcupfront_gateway import clocks
from kingcupfront_gateway import errors
from kingcupfront_gateway import reply_buffers
from kingcupfront_gateway import reply_heads
from kingcupfront_gateway import sockets

READ_BYTES = 16384
# A longer request is written while its reply is awaited: the target may reply
# before it has read the body.
MAX_BLOCKING_WRITE_BYTES = 65536
MAX_HEADER_BYTES = 65536
# A reply is buffered completely before its first byte goes to the caller.
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_BODY_PARTS = 65536


@dataclasses.dataclass(frozen=True)
class ReplyHead:
    """The status and headers of a reply."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


class UpstreamConnection:
    """Sends one request at a time and reads its reply.

    :param to: the address of the target.
    :param connect_timeout: seconds after which opening it fails.
    :param buffers: bounds the replies that are buffered at the same time.
    :raises UnreachableError: if no connection can be opened.
    """

    def __init__(
        self,
        to: address.Address,
        connect_timeout: float,
        buffers: reply_buffers.ReplyBuffers,
    ) -> None:
        self._buffers = buffers
        try:
            self._sock = sockets.connect(to, connect_timeout)
        except OSError as error:
            raise errors.UnreachableError(f'{to}: {error}') from error
        self._protocol = self._new_wire()
        self._request: h11.Request | None = None
        self.is_new = True
        self.is_first_request = True
        self.idle_until = 0.0
        self._event_counter = switching_socket.EventCounter()
        self._abort_error: errors.TargetError | None = None
        # Whether the target was sent each byte of the last request. Until
        # then it would take further bytes for the rest of that request.
        self._is_request_written = True

    @staticmethod
    def _new_wire() -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and ready for a request."""
        if self.is_new:
            return True
        return (
            self._is_request_written
            and self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
            and self._protocol.trailing_data == (b'', False)
            and not sockets.is_readable_or_closed(self._sock)
        )

    @property
    def has_unread_data(self) -> bool:
        """Whether bytes of the reply have come that were not read yet."""
        return sockets.has_unread_data(self._sock)

    def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        timeout: float,
    ) -> None:
        """Write a complete request.

        A long one is still being written when this returns.

        :param timeout: seconds after which to give up.
        :raises BrokenReplyError: if the connection broke; the target may
            have received the request.
        """
        self.is_first_request = self.is_new
        if not self.is_new:
            self._protocol.start_next_cycle()
        self.is_new = False
        framed_headers = list(headers)
        if body or method in ('POST', 'PUT', 'PATCH'):
            framed_headers.append((b'Content-Length', str(len(body)).encode()))
        self._request = h11.Request(
            method=method, target=target, headers=framed_headers
        )
        parts = self._serialize(body)
        self._is_request_written = False
        if sum(map(len, parts)) > MAX_BLOCKING_WRITE_BYTES:
            gevent.spawn(self._write, parts, timeout)
            return
        error = self._write([b''.join(parts)], timeout)
        if error is not None and not sockets.is_readable_or_closed(self._sock):
            raise errors.BrokenReplyError(str(error)) from error

    def _write(self, parts: list[bytes], timeout: float) -> OSError | None:
        """Write a request; return the error if not all of it was written.

        The error is not raised: a target may reply and stop reading before it
        has the whole body.
        """
        self._sock.settimeout(max(timeout, 0.001))
        try:
            for part in parts:
                if part:
                    self._sock.sendall(part)
        except OSError as error:
            return error
        self._is_request_written = True
        return None

    def _serialize(self, body: bytes) -> list[bytes]:
        """Return the parts of a request; a large body is not copied."""
        parts = [self._protocol.send(self._request) or b'']
        if body:
            parts.append(self._protocol.send(h11.Data(data=body)) or b'')
        parts.append(self._protocol.send(h11.EndOfMessage()) or b'')
        return parts

    def read_head(self, timeout: float) -> ReplyHead:
        """Read the status and headers of the reply.

        :param timeout: seconds within which the complete head must arrive.
        :raises SilentTargetError: if it does not arrive in time.
        :raises BrokenReplyError: if it is not a valid reply.
        """
        deadline = clocks.BOOT.monotonic() + timeout
        informational_heads = 0
        while True:
            event = self._next_event(deadline - clocks.BOOT.monotonic())
            if not isinstance(event, h11.Response | h11.InformationalResponse):
                raise errors.BrokenReplyError(
                    'connection closed before the reply'
                )
            rest, _ = self._protocol.trailing_data
            if reply_heads.is_final(event, informational_heads, rest):
                return ReplyHead(
                    event.status_code, tuple(event.headers.raw_items())
                )
            informational_heads += 1

    def discard_reply(self, timeout: float, body: bytes) -> None:
        """Discard a reply to an earlier request; the next may match.

        :param timeout: seconds within which the complete reply must arrive.
        :param body: the body of the request whose reply is expected.
        """
        for _ in self._read_parts(timeout, timeout):
            pass
        rest, at_end = self._protocol.trailing_data
        if at_end:
            raise errors.BrokenReplyError(
                'connection closed after a reply to another request'
            )
        self._protocol = self._new_wire()
        self._serialize(body)
        if rest:
            self._protocol.receive_data(rest)

    def read_data(self, timeout: float) -> bytes | None:
        """Return the next bytes of the reply's body, or None at its end.

        :param timeout: seconds without a byte of the body after which to
            give up. The call may then be repeated.
        :raises SilentTargetError: if nothing arrives in time.
        :raises BrokenReplyError: if the reply is truncated or malformed.
        """
        event = self._next_event(timeout)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            reply_heads.check_trailers(event.headers)
            return None
        raise errors.BrokenReplyError('connection closed within the reply')

    def read_body(
        self, timeout: float, max_bytes: int = MAX_BODY_BYTES
    ) -> bytes:
        """Read the rest of the reply's body.

        :param timeout: seconds without a byte after which to give up.
        :param max_bytes: the most bytes that it may have.
        :raises SilentTargetError: if it does not arrive in time.
        :raises BrokenReplyError: if it is truncated, malformed or too large.
        """
        with self._buffers.open(self._cut_off) as buffer:
            parts: list[bytes] = []
            try:
                for data in self._read_parts(timeout, max_bytes=max_bytes):
                    parts.append(data)
                    self._buffers.grow(buffer, len(data))
                return b''.join(parts)
            finally:
                # An error keeps this frame, and often itself, alive until the
                # garbage collector runs.
                parts.clear()

    def _cut_off(self) -> None:
        self.abort(
            errors.BrokenReplyError(
                f'all buffered replies have over {self._buffers.limit} bytes, '
                f'and this one is the largest'
            )
        )

    def _read_parts(
        self,
        timeout: float,
        total_timeout: float = float('inf'),
        max_bytes: int = MAX_BODY_BYTES,
    ) -> Iterator[bytes]:
        """Yield the parts of the reply's body, up to its limits."""
        deadline = clocks.BOOT.monotonic() + total_timeout
        parts = size = 0
        while True:
            if self._abort_error is not None:
                raise self._abort_error
            seconds_left = deadline - clocks.BOOT.monotonic()
            data = self.read_data(min(timeout, seconds_left))
            if data is None:
                return
            size += len(data)
            parts += 1
            if size > max_bytes or parts > MAX_BODY_PARTS:
                raise errors.BrokenReplyError(
                    f'the reply has over {size} bytes in {parts} parts'
                )
            yield data

    def _next_event(self, timeout: float) -> object:
        """Return the next event of the protocol.

        :param timeout: seconds within which it must be complete.
        """
        deadline = clocks.BOOT.monotonic() + timeout
        while True:
            self._event_counter.count()
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise errors.BrokenReplyError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            seconds_left = deadline - clocks.BOOT.monotonic()
            if seconds_left <= 0:
                raise errors.SilentTargetError(
                    f'no complete part of a reply within {timeout:.3f} s'
                )
            self._protocol.receive_data(self._receive(seconds_left))

    def _receive(self, timeout: float) -> bytes:
        self._sock.settimeout(max(timeout, 0.001))
        try:
            return self._sock.recv(READ_BYTES)
        except OSError as error:
            # With a number it comes from the kernel, which has given the
            # connection up.
            if isinstance(error, cooperative.timeout) and error.errno is None:
                raise errors.SilentTargetError(
                    f'no bytes for {timeout:.3f} s'
                ) from error
            if self._abort_error is not None:
                raise self._abort_error from error
            raise errors.BrokenReplyError(str(error)) from error

    def abort(self, error: errors.TargetError) -> None:
        """Close the connection under a task that reads from it.

        :param error: what is raised there.
        """
        self._abort_error = error
        self.close()

    def close(self) -> None:
        """Close the connection, which cancels a request in progress."""
        self._sock.close()
