"""Serves HTTP connections of callers, with limits on sizes and times."""

from collections.abc import Iterator
import contextlib
import logging
import socket
import time
import typing

import gevent
from gevent import pywsgi

from kingcupfront_core import caller_budget
from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_entry import error_responses
from kingcupfront_entry import errors
from kingcupfront_entry import request_body
from kingcupfront_entry import responses
from kingcupfront_entry import stopping

LOG = logging.getLogger(__name__)
IDLE_SECONDS = 75.0
HEAD_SECONDS = 10.0
WRITE_SECONDS = 60.0
DISCARD_SECONDS = 2.0
# How long a connection is read after its last response. Closing it with unread
# bytes resets it, and the caller may lose the end of the response.
LINGER_SECONDS = 1.0
MAX_HEADER_BYTES = 32 * 1024
MAX_HEADERS = 100
MAX_DISCARD_BYTES = 8 * 1024 * 1024
READ_BYTES = 64 * 1024
CHUNKED = 'chunked'


class _HeaderReader:
    """Reads a request's headers and limits their number and size.

    :param file: the connection.
    """

    def __init__(self, file: typing.BinaryIO) -> None:
        self._file = file
        self._bytes_left = MAX_HEADER_BYTES
        self._headers_left = MAX_HEADERS

    def readline(self, size: int = -1) -> bytes:
        """Return the next line.

        :raises HeadersTooLargeError: if the headers exceed a limit.
        :raises TruncatedError: if the connection ends within the headers.
        :raises MalformedError: if the line is not a header.
        """
        line = self._file.readline(self._bytes_left + 1)
        self._bytes_left -= len(line)
        if self._bytes_left < 0:
            raise errors.HeadersTooLargeError(
                f'the headers are larger than {MAX_HEADER_BYTES} bytes'
            )
        if not line.endswith(b'\n'):
            raise errors.TruncatedError(
                'the connection ended within the headers'
            )
        if line.strip():
            self._check(line)
        return line

    def _check(self, line: bytes) -> None:
        self._headers_left -= 1
        if self._headers_left < 0:
            raise errors.HeadersTooLargeError(
                f'the request has more than {MAX_HEADERS} headers'
            )
        name, colon, _ = line.partition(b':')
        if not colon or not name or name != name.strip():
            raise errors.MalformedError(
                'a header line has no colon or a malformed name'
            )


class _UnreadInput:
    """Stands in for an input whose remaining body is not to be read."""

    def _discard(self) -> None:
        pass


class Handler(pywsgi.WSGIHandler):
    """Serves one connection; answers bad requests with a typed error."""

    def __init__(self, sock: typing.Any, *arguments: typing.Any) -> None:
        sock.settimeout(WRITE_SECONDS)
        super().__init__(sock, *arguments)
        self._head_timer: gevent.Timeout | None = None
        self._request: responses.Activity | None = None
        self._account: caller_budget.Account | None = None
        self._task = gevent.getcurrent()

    def handle(self) -> None:
        """Serve the connection if there is room for it."""
        with self.server.connections.open(self._drop) as account:
            self._account = account
            if account is None:
                self.socket.close()
                return
            super().handle()

    def _drop(self, cause: caller_budget.Cause) -> bool:
        """End a request that is being read, or an idle connection."""
        account = self._account
        if account.stage is caller_budget.Stage.READING:
            error = errors.OverBudgetError(
                f'callers use up the {cause} of the process'
            )
            gevent.get_hub().loop.run_callback(self._interrupt, error)
            return True
        if (
            account.stage is not caller_budget.Stage.IDLE
            or cause is not caller_budget.Cause.CONNECTIONS
        ):
            return False
        with contextlib.suppress(OSError):
            # Ends the task that waits for a request.
            self.socket.shutdown(socket.SHUT_RDWR)
        return True

    def _interrupt(self, error: errors.OverBudgetError) -> None:
        if (
            not self._task.dead
            and self._account.stage is caller_budget.Stage.READING
        ):
            self._task.throw(error)

    def handle_one_request(self) -> typing.Any:
        """Serve one request and return what the parent class returns."""
        try:
            with self._head_timeout():
                try:
                    result = super().handle_one_request()
                except (
                    errors.SlowRequestError,
                    errors.OverBudgetError,
                    stopping.StoppedError,
                ) as error:
                    result = self._refuse(error)
            if isinstance(result, tuple) and result[0] == '414':
                result = self._refuse(
                    errors.LineTooLongError(
                        'the request line is longer than the limit'
                    )
                )
            return self._close_gently(result)
        finally:
            if self._request is not None:
                self.server.response_tracker.end_request(self._request)
                self._request = None

    def read_requestline(self) -> str:
        """Wait for a request and return its first line; empty if none came."""
        self._account.enter(caller_budget.Stage.IDLE)
        self._account.resize(0)
        self._account.is_dropped = False
        with gevent.Timeout(IDLE_SECONDS, False):
            if self.rfile.peek(1):
                self._head_timer.start()
                self._account.enter(caller_budget.Stage.READING)
                if self.server.response_tracker is not None:
                    self._request = (
                        self.server.response_tracker.begin_request()
                    )
                return super().read_requestline()
        return ''

    def read_request(self, raw_requestline: str) -> bool:
        """Parse the request line and the headers.

        :raises MalformedError: if the request line is malformed, or if the
            length of the body is ambiguous.
        """
        if len(raw_requestline.split()) != 3:
            raise errors.MalformedError(
                'the request line is not a method, a target and a version'
            )
        result = super().read_request(raw_requestline)
        content_lengths = self.headers.get_all('content-length', [])
        transfer_codings = self.headers.get_all('transfer-encoding', [])
        if len(content_lengths) > 1 or not all(
            value.isascii() and value.isdigit() for value in content_lengths
        ):
            raise errors.MalformedError(
                'the Content-Length is not one decimal number'
            )
        if transfer_codings and [
            value.lower() for value in transfer_codings
        ] != [CHUNKED]:
            raise errors.MalformedError(
                f'the transfer coding is not {CHUNKED!r}'
            )
        return result

    def MessageClass(  # noqa: N802 - the parent's name
        self, file: typing.BinaryIO, *arguments: typing.Any
    ) -> typing.Any:
        """Read the headers.

        :raises MalformedError: if two headers give the length of the body,
            as in request smuggling (RFC 9112, 6.3).
        """
        message = super().MessageClass(_HeaderReader(file), *arguments)
        if 'content-length' in message and 'transfer-encoding' in message:
            raise errors.MalformedError(
                'the request has both a Content-Length and a Transfer-Encoding'
            )
        return message

    def get_environ(self) -> dict[str, typing.Any]:
        """Return the WSGI environment; ends the time limit on the headers."""
        self._head_timer.close()
        # Its body is read by the application.
        self._account.enter(caller_budget.Stage.SERVING)
        if self._request is not None:
            # From here on its response is ended, if anything is.
            self._request.is_waiting = False
        return super().get_environ() | {
            request_body.ACCOUNT_KEY: self._account
        }

    def run_application(self) -> None:
        """Serve the request and discard the unread part of its body.

        The connection is closed if that part is too large or too slow.
        """
        try:
            super().run_application()
        finally:
            if not self._discard_body():
                self.close_connection = True
                self.wsgi_input = _UnreadInput()

    def _sendall(self, data: bytes) -> None:
        # Try one plain write first: the parent class asks the socket for the
        # size of its send buffer before each write.
        sent = self.socket.send(data)
        self.response_length += sent
        if sent < len(data):
            super()._sendall(data[sent:])

    def handle_error(
        self, kind: type[BaseException], value: BaseException, trace: object
    ) -> None:
        """Log an error that nothing else has handled; close the connection."""
        LOG.warning(
            'connection_failed',
            extra={'reason': f'{kind.__name__}: {value}'},
        )
        self.close_connection = True

    @contextlib.contextmanager
    def _head_timeout(self) -> Iterator[None]:
        self._head_timer = gevent.Timeout(
            HEAD_SECONDS,
            errors.SlowRequestError(
                f'the headers did not arrive within {HEAD_SECONDS:g} s'
            ),
        )
        try:
            yield
        finally:
            self._head_timer.close()

    def _close_gently(self, result: typing.Any) -> typing.Any:
        """Let a caller read its last response if a shutdown has a deadline.

        :param result: what the parent class returned: whether to go on, or a
            refusal to send.
        """
        if self._request is None or result is True:
            return result
        if not self.server.response_tracker.is_stopping:
            return result
        with contextlib.suppress(OSError):
            if result is not None:
                self.socket.sendall(result[1])
            self.socket.shutdown(socket.SHUT_WR)
            with gevent.Timeout(LINGER_SECONDS, False):
                while self.socket.recv(READ_BYTES):
                    pass
        return None

    def _discard_body(self) -> bool:
        if self._account.is_closed_for_room:
            return False
        source = self.wsgi_input
        source.send_100_continue_enabled = False
        bytes_left = MAX_DISCARD_BYTES
        with gevent.Timeout(DISCARD_SECONDS, False):
            try:
                while bytes_left > 0:
                    data = source.read(READ_BYTES)
                    if not data:
                        return True
                    bytes_left -= len(data)
            except OSError:
                return False
        return False

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if not isinstance(ex, core_errors.KingcupfrontError):
            ex = errors.MalformedError(f'the request cannot be parsed: {ex}')
        return self._refuse(ex)

    def _refuse(
        self, error: core_errors.KingcupfrontError
    ) -> tuple[str, bytes]:
        response = error_responses.failure_response(
            error, outcomes.Outcome.NOT_RUN
        )
        LOG.warning(
            'request_refused',
            extra={'code': error.code, 'reason': str(error)},
        )
        body = response.body.encode()
        lines = [f'HTTP/1.1 {response.status_line}', 'Connection: close']
        lines += [f'{name}: {value}' for name, value in response.headerlist]
        lines += [f'Content-Length: {len(body)}', '', '']
        self.time_finish = time.time()
        return str(response.status_code), '\r\n'.join(lines).encode() + body
