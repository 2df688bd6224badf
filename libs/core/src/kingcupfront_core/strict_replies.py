"""Connections of ``urllib3`` that read replies by the strict definition.

The definition is :mod:`kingcupfront_core.reply_status` and
:mod:`kingcupfront_core.reply_fields`.
"""

from collections.abc import Iterator
import contextlib
import http.client
import io
import ssl
import typing

import urllib3
from urllib3 import connection

from kingcupfront_core import reply_fields
from kingcupfront_core import reply_status
from kingcupfront_core import sticky_errors

MAX_LINE_BYTES = 65536
MAX_HEADER_LINES = 100
LINE_ENDS = (b'\r\n', b'\n')
CHUNK_LINE_END = b'\r\n'


class MalformedReplyError(http.client.HTTPException):
    """A reply whose status, fields or framing the protocol does not allow."""


@contextlib.contextmanager
def _checking() -> Iterator[None]:
    """Raise the error that readers of ``http.client`` expect."""
    try:
        yield
    except reply_status.MalformedReplyError as error:
        raise MalformedReplyError(str(error)) from error


class StrictResponse(http.client.HTTPResponse):
    """A response whose status is final, after any informational heads.

    The base class parses the head once it was checked, and reads the body.
    """

    def __init__(
        self, sock: typing.Any, *args: typing.Any, **kwargs: typing.Any
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        self._sock = sock

    def begin(self) -> None:
        """Read the head of the response.

        :raises MalformedReplyError: if it is not the head of a response.
        """
        if self.headers is not None:
            return
        stream = self.fp
        with _checking():
            self.fp = io.BytesIO(self._read_head())
            try:
                super().begin()
            finally:
                self.fp = stream
            if self.status in reply_status.BODILESS:
                reply_status.check_body(
                    self.status,
                    self.headers.get('Content-Length'),
                    self.headers.get('Transfer-Encoding'),
                    self._received_bytes(),
                )

    def _received_bytes(self) -> bytes:
        """Return bytes that arrived after the head, without waiting."""
        if self.fp is None:
            return b''
        timeout = self._sock.gettimeout()
        self._sock.settimeout(0)
        try:
            return self.fp.peek(1)
        except OSError:
            return b''
        finally:
            self._sock.settimeout(timeout)

    def _read_head(self) -> bytes:
        """Return the final head in a form that all parsers read alike.

        Informational heads are skipped here, since the base class skips only
        those with the status 100, and any number of them.
        """
        informational_heads = 0
        while True:
            line = self._read_line()
            if not line:
                raise http.client.RemoteDisconnected(
                    'connection closed before the reply'
                )
            is_final = reply_status.check(reply_status.read_status_line(line))
            fields = reply_fields.read(self._read_field_lines())
            if is_final:
                break
            informational_heads += 1
            reply_status.check_informational_heads(informational_heads)
        framed = reply_fields.normalize_framing(fields)
        lines = [b'%b: %b\r\n' % field for field in framed]
        return b''.join([line, *lines, b'\r\n'])

    def _read_field_lines(self) -> Iterator[bytes]:
        """Yield the lines of a head or of trailers up to the blank one."""
        for _ in range(MAX_HEADER_LINES):
            line = self._read_line()
            if line in LINE_ENDS:
                return
            if not line:
                raise MalformedReplyError('connection closed among fields')
            yield line
        raise MalformedReplyError(f'over {MAX_HEADER_LINES} lines of fields')

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left of the chunk, None after the last one.

        The base class calls this before each read of a body in chunks.
        """
        if self.chunk_left:
            return self.chunk_left
        with _checking():
            if self.chunk_left == 0:
                self._check_line_end(self._safe_read(len(CHUNK_LINE_END)))
            line = self._read_line()
            self._check_line_end(line[-len(CHUNK_LINE_END) :])
            size = reply_fields.read_chunk_size(line[: -len(CHUNK_LINE_END)])
            if not size:
                reply_fields.read(self._read_field_lines())
        if size:
            self.chunk_left = size
        else:
            self._close_conn()
            self.chunk_left = None
        return self.chunk_left

    @staticmethod
    def _check_line_end(found: bytes) -> None:
        if found != CHUNK_LINE_END:
            raise MalformedReplyError(f'{found!r} for the line end of a chunk')

    def _read_line(self) -> bytes:
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        if len(line) > MAX_LINE_BYTES:
            raise http.client.LineTooLong('head or chunk')
        return line


class Connection(connection.HTTPConnection):
    """An HTTP connection that reads replies strictly."""

    response_class = StrictResponse
    socket_class = sticky_errors.StickyErrorSocket

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        self.sock = sticky_errors.replace(self.sock, self.socket_class)


class TlsConnection(connection.HTTPSConnection):
    """An HTTPS connection that reads replies strictly."""

    response_class = StrictResponse

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        # An end without close_notify, which a reset leaves too, is an error.
        self.sock.suppress_ragged_eofs = False

    def send(self, data: typing.Any) -> None:
        """Write; a reply that came before the connection broke can be read.

        :raises BrokenPipeError: after which ``urllib3`` reads it.
        """
        try:
            super().send(data)
        except ssl.SSLEOFError as error:
            raise BrokenPipeError(str(error)) from error


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = Connection


class _TlsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = TlsConnection


class PoolManager(urllib3.PoolManager):
    """A pool manager whose connections read replies strictly."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.pool_classes_by_scheme = {'http': _Pool, 'https': _TlsPool}
