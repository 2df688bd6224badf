"""A TCP relay between two processes, with faults in each direction."""

import contextlib

import gevent
from gevent import event
from gevent import server
from gevent import socket

CONNECT_SECONDS = 1.0
# SO_LINGER with no time: closing sends a reset.
RESET = b'\x01\0\0\0\0\0\0\0'


class Direction:
    """One way through the relay; silence holds bytes back, for a time.

    ``delay`` is in seconds for each piece of bytes; ``passed`` counts pieces.
    """

    def __init__(self):
        self.open = event.Event()
        self.open.set()
        self.delay = 0.0
        self.passed = 0

    def silence(self):
        self.open.clear()

    def heal(self):
        self.open.set()


class Relay:
    """Passes connections on to an address that may change."""

    def __init__(self, target):
        self.target = target
        self.there = Direction()
        self.back = Direction()
        self._lines = set()
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def heal(self):
        self.there.heal()
        self.back.heal()

    def close(self):
        self.heal()
        self._server.stop(timeout=0)

    def reset(self, *, is_end=False):
        """Break all connections; new ones work.

        :param is_end: whether the peers are told of an end, as when a process
            ends, and not of a reset.
        """
        for line in list(self._lines):
            line.reset(is_end)

    def forget(self):
        """Let all connections go silent for good; new ones work."""
        for line in list(self._lines):
            line.is_forgotten = True

    def _serve(self, near, source):
        host, port = self.target.rsplit(':', 1)
        with contextlib.closing(near):
            self.there.open.wait()
            try:
                far = socket.create_connection(
                    (host, int(port)), CONNECT_SECONDS
                )
            except OSError:
                return
            far.settimeout(None)
            with contextlib.closing(far):
                line = Line(near, far)
                self._lines.add(line)
                tasks = [
                    gevent.spawn(line.pass_on, near, far, self.there),
                    gevent.spawn(line.pass_on, far, near, self.back),
                ]
                gevent.joinall(tasks)
                self._lines.discard(line)


class Line:
    """One connection through the relay."""

    def __init__(self, near, far):
        self._near = near
        self._far = far
        self.is_forgotten = False

    def reset(self, is_end):
        for sock in (self._near, self._far):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                if is_end:
                    sock.shutdown(socket.SHUT_RDWR)
                else:
                    sock.close()

    def pass_on(self, source, sink, direction):
        with contextlib.suppress(OSError):
            while True:
                data = source.recv(65536)
                if direction.delay:
                    gevent.sleep(direction.delay)
                direction.open.wait()
                if self.is_forgotten:
                    if data:
                        continue
                    return
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
                direction.passed += 1
