"""Aborts reads that exceed their deadline, with one timer for all reads.

A timer for each read accounted for a tenth of the cost of a token.
"""

from collections.abc import Iterator
import contextlib
import socket
import typing

import gevent

from kingcupfront_core import clock

SWEEP_SECONDS = 0.05
NO_DEADLINE = float('inf')


class ReadWait:
    """The read deadline of one connection.

    :param sock: the socket of the connection.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.deadline = NO_DEADLINE
        self.silent = False
        self._sock = sock

    def abort(self) -> None:
        """Shut the socket down, which ends the blocked read."""
        self.silent = True
        self.deadline = NO_DEADLINE
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)


class ReadWatchdog:
    """Enforces the read deadlines of all connections of a process.

    :param time: the clock.
    """

    def __init__(self, time: clock.Clock = clock.SYSTEM) -> None:
        self._clock = time
        self._waits: set[ReadWait] = set()
        self._task: typing.Any = None

    @contextlib.contextmanager
    def watch(self, sock: socket.socket) -> Iterator[ReadWait]:
        """Enforce the read deadline of a connection while the block runs."""
        wait = ReadWait(sock)
        self._waits.add(wait)
        if self._task is None:
            self._task = gevent.spawn(self._sweep)
        try:
            yield wait
        finally:
            self._waits.discard(wait)

    def _sweep(self) -> None:
        try:
            while self._waits:
                gevent.sleep(SWEEP_SECONDS)
                now = self._clock.monotonic()
                for wait in [w for w in self._waits if w.deadline < now]:
                    wait.abort()
        finally:
            self._task = None
