"""Connections of ``urllib3`` that read replies by the strict definition.

The definition is :mod:`kingcupfront_core.reply_status`.
"""

import http.client
import typing

import urllib3
from urllib3 import connection

from kingcupfront_core import reply_status
from kingcupfront_core import sticky_errors

MAX_LINE_BYTES = 65536
MAX_HEADER_LINES = 100
LINE_ENDS = (b'\r\n', b'\n')


class MalformedReplyError(http.client.HTTPException):
    """A reply whose status or framing the protocol does not allow."""


class StrictResponse(http.client.HTTPResponse):
    """A response whose status is final, after any informational heads."""

    def __init__(
        self, sock: typing.Any, *args: typing.Any, **kwargs: typing.Any
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        self._sock = sock

    def begin(self) -> None:
        """Read the head of the response.

        :raises MalformedReplyError: if it is not the head of a response.
        """
        is_first_call = self.headers is None
        super().begin()
        if not is_first_call or self.status not in reply_status.BODILESS:
            return
        try:
            reply_status.check_body(
                self.status,
                self.headers.get('Content-Length'),
                self.headers.get('Transfer-Encoding'),
                self._received_bytes(),
            )
        except reply_status.MalformedReplyError as error:
            raise MalformedReplyError(str(error)) from error

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

    def _read_status(self) -> tuple[str, int, str]:
        """Read a status line; the base class calls this for each head.

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
            try:
                status = reply_status.read_status_line(line)
                if reply_status.check(status):
                    break
                informational_heads += 1
                reply_status.check_informational_heads(informational_heads)
            except reply_status.MalformedReplyError as error:
                raise MalformedReplyError(str(error)) from error
            self._skip_head()
        version, _, rest = line.decode('iso-8859-1').partition(' ')
        return version, status, rest.partition(' ')[2].strip()

    def _skip_head(self) -> None:
        for _ in range(MAX_HEADER_LINES):
            line = self._read_line()
            if line in LINE_ENDS:
                return
            if not line:
                raise MalformedReplyError('connection closed in a head')
        raise MalformedReplyError(
            f'over {MAX_HEADER_LINES} lines in an informational head'
        )

    def _read_line(self) -> bytes:
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        if len(line) > MAX_LINE_BYTES:
            raise http.client.LineTooLong('head')
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


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = Connection


class _TlsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = TlsConnection


class PoolManager(urllib3.PoolManager):
    """A pool manager whose connections read replies strictly."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.pool_classes_by_scheme = {'http': _Pool, 'https': _TlsPool}
