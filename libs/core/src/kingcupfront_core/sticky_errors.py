"""Sockets that report the error which ended their connection at each read.

The kernel reports such an error to one call only, be it a write or a look at
unread data. The next read returns no bytes, as at the proper end of a
connection, and an HTTP reply without a length would seem complete.
"""

import errno
import os
import socket
import typing

# Time-outs of the process have no number. A write fails with EPIPE if the peer
# had ended its side before the connection was reset; the end is proper then.
_HARMLESS_ERRORS = frozenset({None, errno.EAGAIN, errno.EPIPE})


class StickyErrors:
    """Mixin for classes of sockets, named before the class itself."""

    _error_number: int | None = None

    def send(self, *arguments: typing.Any, **options: typing.Any) -> int:
        """Send bytes, see :meth:`socket.socket.send`."""
        try:
            return super().send(*arguments, **options)
        except OSError as error:
            self._keep(error)
            raise

    def sendall(self, *arguments: typing.Any) -> None:
        """Send all bytes, see :meth:`socket.socket.sendall`."""
        try:
            super().sendall(*arguments)
        except OSError as error:
            self._keep(error)
            raise

    def recv(self, *arguments: typing.Any) -> bytes:
        """Receive bytes, see :meth:`socket.socket.recv`.

        :raises OSError: in place of the end of the connection, if an error
            ended it.
        """
        try:
            data = super().recv(*arguments)
        except OSError as error:
            self._keep(error)
            raise
        if not data:
            self._raise_kept()
        return data

    def recv_into(self, *arguments: typing.Any) -> int:
        """Receive into a buffer, see :meth:`socket.socket.recv_into`.

        :raises OSError: as for :meth:`recv`.
        """
        try:
            size = super().recv_into(*arguments)
        except OSError as error:
            self._keep(error)
            raise
        if not size:
            self._raise_kept()
        return size

    def _keep(self, error: OSError) -> None:
        if error.errno not in _HARMLESS_ERRORS:
            self._error_number = error.errno

    def _raise_kept(self) -> None:
        if self._error_number is not None:
            raise OSError(self._error_number, os.strerror(self._error_number))


class StickyErrorSocket(StickyErrors, socket.socket):
    """A socket of the class that the process uses."""


def replace(
    sock: socket.socket, kind: type[socket.socket] = StickyErrorSocket
) -> socket.socket:
    """Return a socket of a class with sticky errors for a connection.

    :param sock: the connection's socket; it is detached.
    :param kind: the class.
    """
    timeout = sock.gettimeout()
    replacement = kind(
        sock.family, sock.type, sock.proto, fileno=sock.detach()
    )
    replacement.settimeout(timeout)
    return replacement
