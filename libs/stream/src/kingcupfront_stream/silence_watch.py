"""Ends reads that have waited too long, with one timer for all of them.

A timer for each read was a tenth of the cost of a token.
"""

from collections.abc import Iterator
import contextlib
import socket
import typing

import gevent

from kingcupfront_core import clock

SWEEP_SECONDS = 0.05
NEVER = float('inf')


class Wait:
    """The waits of one connection.

    :param sock: the connection.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.due = NEVER
        self.silent = False
        self._sock = sock

    def end(self) -> None:
        """End the read that has waited too long."""
        self.silent = True
        self.due = NEVER
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)


class SilenceWatch:
    """Looks after the waits of all connections of a process.

    :param time: the clock.
    """

    def __init__(self, time: clock.Clock = clock.SYSTEM) -> None:
        self._clock = time
        self._waits: set[Wait] = set()
        self._task: typing.Any = None

    @contextlib.contextmanager
    def watching(self, sock: socket.socket) -> Iterator[Wait]:
        """Hold the waits of a connection while the block runs."""
        wait = Wait(sock)
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
                for wait in [w for w in self._waits if w.due < now]:
                    wait.end()
        finally:
            self._task = None
