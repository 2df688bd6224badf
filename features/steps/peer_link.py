"""Steps for calls between entry processes."""

import struct

import behave
import capnp
import gevent
from gevent import server
from gevent import socket

from kingcupfront_core import address
from kingcupfront_core import errors as core_errors
from kingcupfront_peer import codec
from kingcupfront_peer import errors
from kingcupfront_peer import link

LOOPBACK = address.Address('127.0.0.1', 0)


def answer_with_other_number(sock, source):
    size = struct.unpack('>I', sock.recv(4))[0]
    sock.recv(size)
    frame_codec = codec.Codec(['secret'])
    frame = frame_codec.encode(codec.Message('entry-2', 1, 999, 'echo'))
    sock.sendall(struct.pack('>I', len(frame)) + frame)


def announce_huge_answer(sock, source):
    sock.recv(65536)
    sock.sendall(struct.pack('>I', 2**32 - 1))


HANDLERS_BY_FAULT = {
    'closes each connection': lambda sock, source: None,
    'never answers': lambda sock, source: gevent.sleep(60),
    'answers with another number': answer_with_other_number,
    'answers with 4 GB': announce_huge_answer,
}


@behave.given('a peer that {fault}')
def faulty_peer(context, fault):
    context.link = link.Link('entry-1', codec.Codec(['secret']))
    if fault == 'does not listen':
        sock = socket.socket()
        sock.bind(tuple(LOOPBACK))
        context.stack.callback(sock.close)
        context.peer = address.Address(*sock.getsockname())
        return
    listener = server.StreamServer(tuple(LOOPBACK), HANDLERS_BY_FAULT[fault])
    listener.start()
    context.stack.callback(listener.stop, 0)
    context.peer = address.Address('127.0.0.1', listener.server_port)


def raise_error(error):
    if error == 'BadInputError':
        raise core_errors.BadInputError('no')
    if error == 'ValueError':
        raise ValueError('no')
    raise capnp.KjException('no')


@behave.given('a peer whose handler raises {error}')
def peer_with_failing_handler(context, error):
    context.link = link.Link('entry-1', codec.Codec(['secret']))
    other = link.Link('entry-2', codec.Codec(['secret']))
    other.handlers.register('echo')(lambda message: raise_error(error))
    other.handlers.register('good')(lambda message: message.body)
    context.peer = context.stack.enter_context(other.listening(LOOPBACK))


@behave.when('a call is made to the peer')
def call_peer(context):
    context.error = None
    try:
        context.link.call(context.peer, 'echo', b'x', 0.5)
    except core_errors.KingcupfrontError as error:
        context.error = error


@behave.then('the call fails as "{code}" with sent {sent}')
def call_failed(context, code, sent):
    assert context.error is not None
    assert context.error.code == code, context.error
    assert str(getattr(context.error, 'sent', None)) == sent


@behave.when('a call is made under a shorter timeout of the caller')
def call_with_own_timeout(context):
    context.raised = None
    own_timeout = gevent.Timeout(0.1)
    try:
        with own_timeout:
            context.link.call(context.peer, 'echo', b'x', 5.0)
    except (gevent.Timeout, errors.PeerError) as error:
        context.raised = error is own_timeout


@behave.then("the caller's timeout is raised")
def timeout_raised(context):
    assert context.raised


@behave.then('the peer still answers a message of another kind')
def still_answers(context):
    answer = context.link.call(context.peer, 'good', b'y', 5.0)
    assert answer.body == b'y'
