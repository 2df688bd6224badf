"""TCP socket options and helpers of the gateway."""

import socket

from gevent import socket as cooperative

from kingcupfront_core import address
from kingcupfront_core import sticky_errors

# A peer that acknowledges nothing for this long is considered gone; TCP
# retransmits a lost packet several times within this time.
USER_TIMEOUT_MILLISECONDS = 1500
# A caller that pauses while it reads acknowledges nothing either.
CALLER_USER_TIMEOUT_MILLISECONDS = 15_000
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


def configure(
    sock: socket.socket, user_timeout: int = USER_TIMEOUT_MILLISECONDS
) -> None:
    """Disable Nagle's algorithm and detect dead peers by keepalives.

    :param user_timeout: milliseconds after which the kernel gives up on data
        that the peer does not take.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, user_timeout),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


class _Socket(sticky_errors.StickyErrors, cooperative.socket):
    """A connection that is written and looked at while a reply is read."""


def connect(
    remote_address: address.Address, timeout: float
) -> cooperative.socket:
    """Open a connection whose errors are reported at each read.

    :param timeout: the connect timeout in seconds.
    :raises OSError: if the connection cannot be opened in time.
    """
    sock = sticky_errors.replace(
        cooperative.create_connection(tuple(remote_address), timeout), _Socket
    )
    configure(sock)
    return sock


def refuses_connections(
    remote_address: address.Address, timeout: float
) -> bool:
    """Return whether nothing listens at an address.

    A server that is cut off does not refuse connections.

    :param timeout: the connect timeout in seconds.
    """
    try:
        connect(remote_address, timeout).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False


def has_unread_data(sock: cooperative.socket) -> bool:
    """Return whether a connection has bytes to read."""
    try:
        sock.setblocking(False)
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def is_readable_or_closed(sock: cooperative.socket) -> bool:
    """Return whether an idle connection was closed or has unread data."""
    try:
        sock.setblocking(False)
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
