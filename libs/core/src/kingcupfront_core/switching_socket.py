"""A socket whose reads let other tasks run, however fast the peer sends.

Reading from a socket that always has data does not switch tasks by itself, so
a peer that sends without end would stop the event loop, and with it the time
limits of the reader.
"""

import typing

import gevent
from gevent import socket

from kingcupfront_core import sticky_errors

MAX_BYTES_BETWEEN_SWITCHES = 8192
MAX_EVENTS_BETWEEN_SWITCHES = 256
# Of a body. A switch to tasks that are ready costs less than one that checks
# the timers too.
BYTES_BETWEEN_YIELDS = 65536
YIELDS_BETWEEN_SWITCHES = 8
# Above zero, since gevent may continue a task that sleeps for zero seconds
# many times before it checks its timers.
SWITCH_SECONDS = 1e-6


def switch_tasks() -> None:
    """Let all tasks run that are ready, those that wait for a time too."""
    gevent.sleep(SWITCH_SECONDS)


class EventCounter:
    """Switches tasks after a number of protocol events.

    Parsing bytes that are at hand does not switch tasks by itself.
    """

    def __init__(self) -> None:
        self._events_since_switch = 0

    def count(self) -> None:
        """Count an event and let other tasks run if it is time."""
        self._events_since_switch += 1
        if self._events_since_switch >= MAX_EVENTS_BETWEEN_SWITCHES:
            self._events_since_switch = 0
            switch_tasks()


class ByteCounter:
    """Lets other tasks run after a number of bytes of a body."""

    def __init__(self) -> None:
        self._bytes_since_yield = 0
        self._yields_since_switch = 0

    def count(self, size: int) -> None:
        """Count bytes and let other tasks run if it is time."""
        self._bytes_since_yield += size
        if self._bytes_since_yield < BYTES_BETWEEN_YIELDS:
            return
        self._bytes_since_yield = 0
        self._yields_since_switch += 1
        if self._yields_since_switch < YIELDS_BETWEEN_SWITCHES:
            gevent.sleep(0)
            return
        self._yields_since_switch = 0
        switch_tasks()


class SwitchingSocket(sticky_errors.StickyErrors, socket.socket):
    """A connected socket that switches tasks after a few kilobytes."""

    _bytes_since_switch = 0

    def recv(self, *arguments: typing.Any) -> bytes:
        """Receive bytes, see :meth:`socket.socket.recv`."""
        data = super().recv(*arguments)
        self._count(len(data))
        return data

    def recv_into(self, *arguments: typing.Any) -> int:
        """Receive into a buffer, see :meth:`socket.socket.recv_into`."""
        size = super().recv_into(*arguments)
        self._count(size)
        return size

    def _count(self, size: int) -> None:
        self._bytes_since_switch += size
        if self._bytes_since_switch >= MAX_BYTES_BETWEEN_SWITCHES:
            self._bytes_since_switch = 0
            switch_tasks()
