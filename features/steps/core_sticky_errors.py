"""Steps for sockets that keep the error which ended their connection."""

import contextlib
import socket

import behave
import gevent

from features.support import early_server
from kingcupfront_core import address
from kingcupfront_core import sticky_errors
from kingcupfront_core import switching_socket

KINDS = {
    'plain': sticky_errors.StickyErrorSocket,
    'switching': switching_socket.SwitchingSocket,
}
DATA = b'some bytes'
WAIT_SECONDS = 3.0
SHORT_SECONDS = 0.05
READS = 3
SMALL_BUFFER_BYTES = 2048


@behave.given('a {kind} socket whose peer has not ended')
def open_socket(context, kind):
    listener = context.stack.enter_context(contextlib.closing(socket.socket()))
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
    )
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    sock = socket.create_connection(listener.getsockname(), WAIT_SECONDS)
    context.sock = sticky_errors.replace(sock, KINDS[kind])
    context.stack.callback(context.sock.close)
    context.peer, _ = listener.accept()
    context.stack.callback(context.peer.close)


@behave.when('its peer sends some bytes and {ends}')
def peer_ends(context, ends):
    context.peer.sendall(DATA)
    if ends.startswith(('shut its side', 'shuts its side')):
        context.peer.shutdown(socket.SHUT_WR)
    if 'reset' in ends:
        early_server.set_to_reset(context.peer)
        context.peer.close()
    gevent.sleep(SHORT_SECONDS)


@behave.given('a {kind} socket whose peer sent some bytes and {ended}')
def ended_socket(context, kind, ended):
    open_socket(context, kind)
    peer_ends(context, ended)


def _write(sock):
    with contextlib.suppress(OSError):
        sock.send(b'x')


def _write_long(sock):
    with contextlib.suppress(OSError):
        sock.sendall(b'x' * 100)


def _write_twice(sock):
    _write(sock)
    _write(sock)


def _look(sock):
    # The peer's bytes come first, and are taken before the look.
    assert sock.recv(len(DATA)) == DATA
    with contextlib.suppress(OSError):
        sock.recv(1, socket.MSG_PEEK)


def _look_in_vain(sock):
    sock.settimeout(0)
    with contextlib.suppress(BlockingIOError):
        sock.recv(1, socket.MSG_PEEK)


def _read_in_vain(sock):
    sock.settimeout(SHORT_SECONDS)
    with contextlib.suppress(TimeoutError):
        sock.recv(1)


def _write_in_vain(sock):
    sock.settimeout(SHORT_SECONDS)
    with contextlib.suppress(TimeoutError):
        sock.sendall(b'x' * 8_000_000)


CALLS = {
    'no other call': lambda sock: None,
    'a write': _write,
    'a long write': _write_long,
    'a write, then another': _write_twice,
    'a look': _look,
    'a look that finds nothing': _look_in_vain,
    'a read that has timed out': _read_in_vain,
    'a write that has timed out': _write_in_vain,
}


@behave.when('the connection meets {calls}')
def meet(context, calls):
    CALLS[calls](context.sock)
    context.data = b'' if calls == 'a look' else DATA


@behave.then('the bytes are read, and then {end}, each time')
def read_to_end(context, end):
    sock = context.sock
    sock.settimeout(WAIT_SECONDS)
    data = b''
    while len(data) < len(context.data):
        data += sock.recv(len(context.data))
    assert data == context.data, data
    found = [_read(sock, n) for n in range(READS)]
    assert found == [end] * READS, found


def _read(sock, number):
    try:
        size = (
            sock.recv_into(bytearray(8)) if number % 2 else len(sock.recv(8))
        )
    except ConnectionResetError:
        return 'a reset'
    return f'{size} bytes' if size else 'its end'


@behave.given(
    'a server that answers with {answer} and {ending} after {seconds:f} s'
)
def early(context, answer, ending, seconds):
    server = early_server.EarlyServer(
        answer, ending, seconds, SMALL_BUFFER_BYTES
    ).serve(context.stack)
    context.server_address = address.Address('127.0.0.1', server.port)
