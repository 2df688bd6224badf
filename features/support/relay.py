"""A TCP relay between two processes, with faults in each direction."""

import contextlib

import gevent
from gevent import event
from gevent import server
from gevent import socket

CONNECT_SECONDS = 1.0


class Direction:
    """One way through the relay; silence holds bytes back, for a time."""

    def __init__(self):
        self.open = event.Event()
        self.open.set()

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
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def heal(self):
        self.there.heal()
        self.back.heal()

    def close(self):
        self.heal()
        self._server.stop(timeout=0)

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
                tasks = [
                    gevent.spawn(_pass, near, far, self.there),
                    gevent.spawn(_pass, far, near, self.back),
                ]
                gevent.joinall(tasks)


def _pass(source, sink, direction):
    with contextlib.suppress(OSError):
        while True:
            data = source.recv(65536)
            direction.open.wait()
            if not data:
                sink.shutdown(socket.SHUT_WR)
                return
            sink.sendall(data)
