"""HTTP connections of callers, with bounds on size and time."""

from collections.abc import Iterator
import contextlib
import logging
import time
import typing

import gevent
from gevent import pywsgi

from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_entry import error_responses
from kingcupfront_entry import errors

LOG = logging.getLogger(__name__)
IDLE_SECONDS = 75.0
HEAD_SECONDS = 10.0
WRITE_SECONDS = 60.0
DISCARD_SECONDS = 2.0
MAX_HEADER_BYTES = 32 * 1024
MAX_HEADERS = 100
MAX_DISCARD_BYTES = 8 * 1024 * 1024
READ_BYTES = 64 * 1024
CHUNKED = 'chunked'


class _HeaderReader:
    """Bounds the bytes of a request's headers.

    :param file: the connection.
    """

    def __init__(self, file: typing.BinaryIO) -> None:
        self._file = file
        self._bytes_left = MAX_HEADER_BYTES
        self._headers_left = MAX_HEADERS

    def readline(self, size: int = -1) -> bytes:
        """Return a line.

        :raises HeadersTooLargeError: if the headers grow too large.
        :raises TruncatedError: if the connection ends within them.
        :raises MalformedError: if the line is no header.
        """
        line = self._file.readline(self._bytes_left + 1)
        self._bytes_left -= len(line)
        if self._bytes_left < 0:
            raise errors.HeadersTooLargeError(
                f'the headers are over {MAX_HEADER_BYTES} bytes'
            )
        if not line.endswith(b'\n'):
            raise errors.TruncatedError('the headers have no end')
        if line.strip():
            self._check(line)
        return line

    def _check(self, line: bytes) -> None:
        self._headers_left -= 1
        if self._headers_left < 0:
            raise errors.HeadersTooLargeError(
                f'there are over {MAX_HEADERS} headers'
            )
        name, colon, _ = line.partition(b':')
        if not colon or not name or name != name.strip():
            raise errors.MalformedError('a header is malformed')


class _UnreadInput:
    """An input whose rest will not be read."""

    def _discard(self) -> None:
        pass


class Handler(pywsgi.WSGIHandler):
    """Serves one connection; what it refuses gets a typed error."""

    def __init__(self, sock: typing.Any, *arguments: typing.Any) -> None:
        sock.settimeout(WRITE_SECONDS)
        super().__init__(sock, *arguments)
        self._head_timer: gevent.Timeout | None = None

    def handle_one_request(self) -> typing.Any:
        """Serve one request; see the parent class for what it returns."""
        with self._head_timeout():
            try:
                result = super().handle_one_request()
            except errors.SlowRequestError as error:
                return self._refuse(error)
        if isinstance(result, tuple) and result[0] == '414':
            return self._refuse(
                errors.LineTooLongError('the request line is too long')
            )
        return result

    def read_requestline(self) -> str:
        """Wait for a request and return its first line."""
        with gevent.Timeout(IDLE_SECONDS, False):
            if self.rfile.peek(1):
                self._head_timer.start()
                return super().read_requestline()
        return ''

    def read_request(self, raw_requestline: str) -> bool:
        """Parse the line and the headers.

        :raises MalformedError: if how the body ends is not certain.
        """
        if len(raw_requestline.split()) != 3:
            raise errors.MalformedError('the request line is malformed')
        result = super().read_request(raw_requestline)
        content_lengths = self.headers.get_all('content-length', [])
        transfer_codings = self.headers.get_all('transfer-encoding', [])
        if len(content_lengths) > 1 or not all(
            value.isascii() and value.isdigit() for value in content_lengths
        ):
            raise errors.MalformedError('the content length is malformed')
        if transfer_codings and [
            value.lower() for value in transfer_codings
        ] != [CHUNKED]:
            raise errors.MalformedError('the transfer coding is not known')
        return result

    def MessageClass(  # noqa: N802 - the parent's name
        self, file: typing.BinaryIO, *arguments: typing.Any
    ) -> typing.Any:
        """Read the headers."""
        message = super().MessageClass(_HeaderReader(file), *arguments)
        if 'content-length' in message and 'transfer-encoding' in message:
            raise errors.MalformedError('two ways to end the body')
        return message

    def get_environ(self) -> dict[str, typing.Any]:
        """Return the environment of the request, whose head is complete."""
        self._head_timer.close()
        return super().get_environ()

    def run_application(self) -> None:
        """Serve the request and read what is left of its body."""
        try:
            super().run_application()
        finally:
            if not self._discard_body():
                self.close_connection = True
                self.wsgi_input = _UnreadInput()

    def _sendall(self, data: bytes) -> None:
        # The parent asks for the size of the buffer before each write.
        sent = self.socket.send(data)
        self.response_length += sent
        if sent < len(data):
            super()._sendall(data[sent:])

    def handle_error(
        self, kind: type[BaseException], value: BaseException, trace: object
    ) -> None:
        """Log a fault that no other part has handled; close."""
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

    def _discard_body(self) -> bool:
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
            ex = errors.MalformedError(f'the request is malformed: {ex}')
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
