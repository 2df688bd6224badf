"""A server that answers uploads before it has read them.

Its threads are native ones, so that it resets a connection while the event
loop of the tests writes to it.
"""

import contextlib
import socket as sockets
import struct

from gevent import monkey

from kingcupfront_core import registry

_socket = monkey.get_original('socket', 'socket')
_sleep = monkey.get_original('time', 'sleep')
_start_thread = monkey.get_original('_thread', 'start_new_thread')
# The stand-in gives up by itself after this time, so that a test ends.
MAX_SECONDS = 15.0
ID_FIELD = b'kingcupfront-attempt-id:'
SIGNATURE = b'Kingcupfront-Server-Signature: signed\r\n'
EVENTS = b''.join(b'id: %d\ndata: t\n\n' % n for n in range(1, 9))
BODY = b'a part of an answer, or all of it'
CLOSE = b'Connection: close\r\n'
LENGTH = CLOSE + b'Content-Length: %d\r\n' % len(BODY)
CHUNKED = CLOSE + b'Transfer-Encoding: chunked\r\n'
CHUNKS = b'%x\r\n%b\r\n0\r\n\r\n' % (len(BODY), BODY)
# What an engine reports of its load, and says when room is asked for.
CALL_PATH = b' /v1/'
CALL_BODY = (
    b'{"active": 0, "queued": 0, "kv_used": 0, "held": 0, "runs": [], '
    b'"state": "ready", "born": 1, "retention": "lease"}'
)
CALL_ANSWER = b'HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b' % (
    CLOSE,
    len(CALL_BODY),
    CALL_BODY,
)
# For each answer: its framing and what is sent of its body.
ANSWERS = {
    'no length': (b'', BODY),
    'no length, but its close': (CLOSE, BODY),
    'no length, no body': (b'', b''),
    'events without a length': (b'', EVENTS),
    'a length': (LENGTH, BODY),
    'a length, half the body': (LENGTH, BODY[:9]),
    'chunks': (CHUNKED, CHUNKS),
    'chunks without the last one': (CHUNKED, CHUNKS[:-5]),
}


def set_to_reset(sock):
    """Let the close of a socket reset its connection."""
    sock.setsockopt(
        sockets.SOL_SOCKET, sockets.SO_LINGER, struct.pack('ii', 1, 0)
    )


endings = registry.Registry('end of an early answer')


@endings.register('resets the connection')
def _reset(sock, seconds):
    _sleep(seconds)
    set_to_reset(sock)


@endings.register('shuts its side down and resets it')
def _shut_down_and_reset(sock, seconds):
    sock.shutdown(sockets.SHUT_WR)
    _reset(sock, seconds)


@endings.register('shuts its side down and closes, reading none')
def _shut_down(sock, seconds):
    sock.shutdown(sockets.SHUT_WR)
    _sleep(seconds)


@endings.register('shuts its side down and reads the rest')
def _shut_down_and_read(sock, seconds):
    sock.shutdown(sockets.SHUT_WR)
    _read_on(sock, seconds)


@endings.register('reads the rest')
def _read_on(sock, seconds):
    _sleep(seconds)
    while sock.recv(65536):
        pass


@endings.register('reads nothing')
def _read_nothing(sock, seconds):
    _sleep(seconds)


class EarlyServer:
    """Answers each request after its head and ends in a way of its own.

    :param answer: which answer, a key of ``ANSWERS``.
    :param ending: what it does then, a key of ``endings``.
    :param seconds: how long it waits before that.
    :param receive_buffer: bytes, or None for what the kernel chooses.
    """

    def __init__(self, answer, ending, seconds, receive_buffer=None):
        self._framing, self._body = ANSWERS[answer]
        self._end = endings.get(ending)
        self._seconds = seconds
        self._listener = _socket()
        if receive_buffer is not None:
            self._listener.setsockopt(
                sockets.SOL_SOCKET, sockets.SO_RCVBUF, receive_buffer
            )
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen(64)
        self.port = self._listener.getsockname()[1]

    @property
    def whole_body(self):
        """What a caller gets of an answer that is whole."""
        return self._body if self._framing != CHUNKED else BODY

    def serve(self, stack):
        """Serve connections in native threads until the test ends."""
        _start_thread(self._accept, ())
        stack.callback(self._stop)
        return self

    def _stop(self):
        # This ends the call that waits for a connection.
        with contextlib.suppress(OSError):
            self._listener.shutdown(sockets.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                # The public method returns a socket of gevent.
                number, _ = self._listener._accept()
                _start_thread(self._serve, (_socket(fileno=number),))

    def _serve(self, sock):
        with contextlib.suppress(OSError), sock:
            sock.settimeout(MAX_SECONDS)
            head = b''
            while b'\r\n\r\n' not in head:
                data = sock.recv(4096)
                if not data:
                    return
                head += data
            if CALL_PATH in head.partition(b'\r\n')[0]:
                sock.sendall(CALL_ANSWER)
                _shut_down_and_read(sock, 0)
                return
            sock.sendall(self._answer(head))
            self._end(sock, self._seconds)

    def _answer(self, head):
        echoed = [
            line + b'\r\n'
            for line in head.split(b'\r\n')
            if line.lower().startswith(ID_FIELD)
        ]
        fields = SIGNATURE + b''.join(echoed) + self._framing
        return b'HTTP/1.1 200 OK\r\n' + fields + b'\r\n' + self._body
