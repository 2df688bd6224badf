"""Options of the TCP sockets that the gateway holds."""

import socket

from gevent import socket as cooperative

from kingcupfront_core import address

# A peer that acknowledges nothing for this long is taken as gone; a lost
# packet is sent again several times within it.
UNACKNOWLEDGED_MILLISECONDS = 1500
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


def configure(sock: socket.socket) -> None:
    """Send small writes at once and notice peers that fell silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def connect(to: address.Address, timeout: float) -> cooperative.socket:
    """Open a connection.

    :param to: the address.
    :param timeout: seconds.
    :raises OSError: if it cannot be opened in time.
    """
    sock = cooperative.create_connection(tuple(to), timeout)
    configure(sock)
    return sock


def is_readable_or_closed(sock: cooperative.socket) -> bool:
    """Return whether an idle connection was closed or sent something."""
    try:
        sock.setblocking(False)
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
