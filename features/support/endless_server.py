"""A server in a native thread that sends without end.

A thread of its own keeps sending while the gateway's event loop is busy.
"""

import contextlib
import time

from gevent import hub
from gevent import monkey
from gevent import server as servers

_socket = monkey.get_original('socket', 'socket')
_sleep = monkey.get_original('time', 'sleep')
_HEAD = b'HTTP/1.1 200 OK\r\nKingcupfront-Server-Signature: signed\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
SLOW_SECONDS = 0.05
PIECES_AT_ONCE = 8
# The stand-in gives up by itself after this time, so that a test ends.
MAX_SECONDS = 20.0
PIECES = {
    'informational heads': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 500, 0),
    'informational heads slowly': (
        b'',
        b'HTTP/1.1 102 Processing\r\n\r\n',
        SLOW_SECONDS * 10,
    ),
    'continue heads': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 500, 0),
    'comments': (_HEAD + _CHUNKED, b'5\r\n: m\n\n\r\n' * 500, 0),
    'header lines': (_HEAD, b'X-More: and more\r\n' * 500, 0),
    'one header line': (_HEAD + b'X-More: ', b'm' * 8000, 0),
    'a chunk': (b'%ID%' + _CHUNKED + b'ffffffff\r\n', b'm' * 8000, 0),
    'small chunks': (b'%ID%' + _CHUNKED, b'1\r\nm\r\n' * 1000, 0),
    'comments in small chunks': (
        _HEAD + _CHUNKED,
        b'1\r\n:\r\n1\r\n\n\r\n' * 500,
        0,
    ),
    'a chunk extension': (b'%ID%' + _CHUNKED + b'5;x=', b'm' * 8000, 0),
    'trailers': (b'%ID%' + _CHUNKED + b'0\r\n', b'X-More: m\r\n' * 500, 0),
    'a body': (b'%ID%\r\n', b'm' * 8000, 0),
    'replies to other requests': (
        b'',
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n' * 200,
        0,
    ),
    'one byte of a head at a time': (
        b'HTTP/1.1 200 OK\r\n',
        b'x',
        SLOW_SECONDS,
    ),
    'deeply nested JSON': (
        b'HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n',
        b'[' * 1000,
        0,
    ),
}


class EndlessServer:
    """Answers its first request with endless bytes.

    :param kind: which bytes, a key of ``PIECES``.
    """

    def __init__(self, kind):
        self._start, self._piece, self._gap = PIECES[kind]
        self.sent_bytes = 0
        self.saw_close = False
        self._listener = _socket()
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen(8)
        self._listener.settimeout(MAX_SECONDS)
        self.port = self._listener.getsockname()[1]

    def serve(self, stack):
        """Serve one connection in a native thread."""
        task = hub.get_hub().threadpool.spawn(self._serve)
        stack.callback(task.wait, MAX_SECONDS)
        stack.callback(self._listener.close)
        return self

    def _serve(self):
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        with sock:
            sock.settimeout(MAX_SECONDS)
            request = sock.recv(65536)
            end = time.monotonic() + MAX_SECONDS
            try:
                sock.sendall(self._first_bytes(request))
                while True:
                    sock.sendall(self._piece)
                    self.sent_bytes += len(self._piece)
                    if time.monotonic() > end:
                        return
                    _sleep(self._gap)
            except OSError:
                self.saw_close = True

    def _first_bytes(self, request):
        return _first_bytes(self._start, request)


def _first_bytes(start, request):
    echoed = [
        line
        for line in request.split(b'\r\n')
        if line.lower().startswith(b'kingcupfront-attempt-id:')
    ]
    head = _HEAD + b''.join(line + b'\r\n' for line in echoed)
    return start.replace(b'%ID%', head)


def serve_many(stack, kind):
    """Send endless bytes on all connections; return the port.

    For gateways in a process of their own, as this uses the event loop.
    """
    start, piece, _ = PIECES[kind]

    def handle(sock, _):
        with contextlib.suppress(OSError):
            sock.sendall(_first_bytes(start, sock.recv(65536)))
            while True:
                sock.sendall(piece * PIECES_AT_ONCE)

    listener = servers.StreamServer(('127.0.0.1', 0), handle, backlog=64)
    listener.start()
    stack.callback(listener.stop, 0)
    return listener.server_port
