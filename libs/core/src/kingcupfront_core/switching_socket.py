"""A socket whose reads let other tasks run, however fast the peer sends.

Reading from a socket that always has data does not switch tasks by itself, so
a peer that sends without end would stop the event loop, and with it the time
limits of the reader.
"""

import typing

import gevent
from gevent import socket

MAX_READS_BETWEEN_SWITCHES = 8


class SwitchingSocket(socket.socket):
    """A connected socket that switches tasks after a few reads."""

    _reads = 0

    def recv(self, *arguments: typing.Any) -> bytes:
        """Receive bytes, see :meth:`socket.socket.recv`."""
        self._count_read()
        return super().recv(*arguments)

    def recv_into(self, *arguments: typing.Any) -> int:
        """Receive into a buffer, see :meth:`socket.socket.recv_into`."""
        self._count_read()
        return super().recv_into(*arguments)

    def _count_read(self) -> None:
        self._reads += 1
        if self._reads % MAX_READS_BETWEEN_SWITCHES == 0:
            gevent.sleep(0)


def replace(sock: socket.socket) -> SwitchingSocket:
    """Return a switching socket for a connection.

    :param sock: the connection's socket; it is detached.
    """
    timeout = sock.gettimeout()
    replacement = SwitchingSocket(
        sock.family, sock.type, sock.proto, fileno=sock.detach()
    )
    replacement.settimeout(timeout)
    return replacement
