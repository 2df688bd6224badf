"""Steps for requests in each state when a gateway process stops."""

import pathlib
import signal
import socket
import subprocess
import sys

import behave
import gevent
from gevent import event

from features.support import platform_site
from features.support.soak import gateways
from features.support.soak import world
from kingcupfront_core import registry

RECEIVE_BUFFER_BYTES = 4096
LONG_ANSWER_BYTES = 600_000
LONG_DEADLINE_MS = 10_000
ROUTE_TIMEOUT_MS = 60_000
FIT_DEADLINE_MS = 400
# Ends within a grace of 4 s, also if the request is sent late.
LATE_DEADLINE_MS = 2_900
BODY = b'0123456789'
# Events at intervals that make a stream outlast the grace, or not.
LONG_STREAM = 100, 0.1
SHORT_STREAM = 15, 0.1

states = registry.Registry('state of a request')


@behave.given(
    'a gateway process with a grace of {grace:d} seconds that serves a long '
    'stream'
)
def serves_stream(context, grace):
    context.grace = grace
    context.site = world.World(context.stack, gateway_count=1, engine_count=1)
    gateway = context.gateway = context.site.gateways[0]
    gateway.bounds = gateway.bounds | {'grace_s': grace}
    gateway.write_settings()
    for route in context.site.routes.values():
        route['timeout_ms'] = ROUTE_TIMEOUT_MS
    context.site.publish()
    context.site.run_gateways()
    # The process does not end before its grace does.
    _begin_stream(context, _connect(context), 'kept', *LONG_STREAM)


def _connect(context):
    sock = socket.socket()
    context.stack.callback(sock.close)
    sock.settimeout(platform_site.WAIT_SECONDS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.connect((context.gateway.ip, gateways.CALLERS_PORT))
    return sock


@behave.given('a caller with a request that is to be {state}')
def caller_of(context, state):
    context.state = state
    context.attempt = context.site.new_id()
    context.sock = _connect(context)


@behave.when('the gateway process is told to stop')
def told_to_stop(context):
    context.gateway.is_stopping = True
    context.gateway.signal(signal.SIGTERM)


@behave.when('the caller brings its request into that state')
def into_state(context):
    states.get(context.state)(context)


def _request(attempt, route='once', deadline_ms=LONG_DEADLINE_MS, tokens=0):
    head = (
        f'POST /{route}/2f HTTP/1.1\r\nHost: {platform_site.HOST}\r\n'
        f'Kingcupfront-Attempt-Id: {attempt}\r\n'
        f'Kingcupfront-Deadline-Ms: {deadline_ms}\r\n'
        f'Kingcupfront-Token-Usage: 1000,{tokens}\r\n'
        f'Authorization: Token {platform_site.KEY}\r\n'
        f'Content-Length: {len(BODY)}\r\n\r\n'
    )
    return head.encode() + BODY


def _begin_stream(context, sock, attempt, events, gap):
    site = context.site
    for engine in site.live('engine'):
        engine.gap = gap
    sock.sendall(_request(attempt, 'stream', tokens=events * 4))
    assert sock.recv(1, socket.MSG_PEEK), 'the stream has not begun'


@states.register('sent as the process closes')
def as_it_closes(context):
    while 'gateway_closing' not in context.gateway.tail():
        gevent.sleep(0.01)
    context.sock.sendall(_request(context.attempt))


@states.register('half a head')
def half_head(context):
    gevent.sleep(2.9)
    context.sock.sendall(_request(context.attempt)[:60])


@states.register('half a body')
def half_body(context):
    gevent.sleep(2.9)
    context.sock.sendall(_request(context.attempt)[:-3])


@states.register('completed late')
def completed_late(context):
    data = _request(context.attempt, deadline_ms=FIT_DEADLINE_MS)
    gevent.sleep(0.2)
    context.sock.sendall(data[:-3])
    gevent.sleep(2.1)
    context.sock.sendall(data[-3:])


@states.register('waiting for room')
def waiting(context):
    for engine in context.site.live('engine'):
        engine.is_full = True
    context.sock.sendall(_request(context.attempt, 'resume', tokens=80))


@states.register('without a reply')
def without_reply(context):
    for target in context.site.live('plain'):
        target.work_seconds = 9.0
    context.sock.sendall(_request(context.attempt, 'safe', ROUTE_TIMEOUT_MS))


@states.register('replied to by a head alone')
def head_alone(context):
    for engine in context.site.live('engine'):
        # Without an event in time the request is sent once more.
        engine.faults += ['silent at 1'] * 2
    context.sock.sendall(_request(context.attempt, 'resume', tokens=80))


@states.register('a stream in the middle')
def in_middle(context):
    for engine in context.site.live('engine'):
        engine.gap = 0.3
    context.sock.sendall(_request(context.attempt, 'resume', tokens=80))


@states.register('answered, read slowly')
def read_slowly(context):
    for target in context.site.live('plain'):
        target.answer_padding = b'x' * LONG_ANSWER_BYTES
    context.sock.sendall(
        _request(context.attempt, deadline_ms=LATE_DEADLINE_MS)
    )
    gevent.sleep(1.0)


@states.register('answered, sending on')
def sending_on(context):
    request = _request(context.attempt, deadline_ms=LATE_DEADLINE_MS)
    context.sock.sendall(request)
    # Bytes that come before the response get one of their own.
    assert context.sock.recv(1, socket.MSG_PEEK), 'there is no response'
    for _ in range(20):
        context.sock.sendall(b'X-Rest: of something\r\n' * 20)
        gevent.sleep(0.02)


@states.register('followed by bytes that are no request')
def followed(context):
    """Hold the reply until the process has read what follows."""
    targets, released = context.site.live('plain'), event.Event()
    for target in targets:
        target.released = released
    request = _request(context.attempt, deadline_ms=LATE_DEADLINE_MS)
    context.sock.sendall(request)
    context.site.wait_until(lambda: any(t.waiting for t in targets))
    context.sock.sendall(b'X-Rest: of something\r\n' * 20)
    context.site.wait_until(lambda: not _unread_bytes(context.sock))
    released.set()


def _unread_bytes(sock):
    """Return how many bytes the other end of a connection has not read."""
    # Connections to others may have the same port at this end.
    ends = [_table_address(sock.getpeername())]
    ends.append(_table_address(sock.getsockname()))
    # Columns: number, local and remote address, state, queues.
    rows = [
        row.split()
        for row in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
    ]
    (queues,) = [row[4] for row in rows if row[1:3] == ends]
    return int(queues.partition(':')[2], 16)


def _table_address(address):
    """Return an address as the kernel's table of connections has it."""
    host, port = address
    number = int.from_bytes(socket.inet_aton(host), sys.byteorder)
    return f'{number:08X}:{port:04X}'


@states.register('a stream that ends')
def stream_that_ends(context):
    _begin_stream(context, context.sock, context.attempt, *SHORT_STREAM)


@states.register('sent ahead')
def sent_ahead(context):
    data = b''
    for _ in range(2):
        attempt = context.site.new_id()
        data += _request(attempt, deadline_ms=FIT_DEADLINE_MS)
    context.sock.sendall(data)


@behave.then(
    'the caller gets two responses {status:d}, of which the second is the last'
)
def two_answers(context, status):
    data = b''
    while part := context.sock.recv(65536):
        data += part
    assert data.count(b'HTTP/1.1 %d' % status) == 2, data
    first, second = data.split(b'HTTP/1.1 ')[1:]
    assert b'connection: close' not in first.lower(), first
    assert b'connection: close' in second.lower(), second


@behave.then(
    'the caller gets a response {first:d} and then a last response {last:d}'
)
def response_and_last(context, first, last):
    data = b''
    while part := context.sock.recv(65536):
        data += part
    responses = data.split(b'HTTP/1.1 ')[1:]
    statuses = [int(response[:3]) for response in responses]
    assert statuses == [first, last], data
    assert b'connection: close' not in responses[0].lower(), data
    assert b'connection: close' in responses[1].lower(), data


@behave.then('the caller gets a last response {status:d}')
def last_response(context, status):
    answer = platform_site.read_raw(context.sock)
    assert answer.status == status, answer
    assert answer.is_whole, len(answer.body)
    assert answer.headers['connection'] == 'close', answer.headers


@behave.then(
    'the next request on its connection gets a last response {status:d}'
)
def next_response(context, status):
    context.sock.sendall(_request(context.site.new_id()))
    last_response(context, status)


@behave.then('the caller gets a stream without end')
def cut_stream(context):
    answer = platform_site.read_raw(context.sock)
    assert answer.status == 200, answer
    assert not answer.is_whole
    assert platform_site.numbers(answer.body)


@behave.then('the caller gets the whole stream')
def whole_stream(context):
    answer = platform_site.read_raw(context.sock)
    assert answer.status == 200 and answer.is_whole, answer
    numbers = platform_site.numbers(answer.body)
    assert numbers == list(range(1, SHORT_STREAM[0] + 1)), numbers


@behave.then('its request reached a target {count:d} times')
def reached(context, count):
    arrivals = [
        arrival
        for arrival in context.site.ledger.arrivals
        if arrival.attempt == context.attempt
    ]
    assert len(arrivals) == count, arrivals


@behave.then('the gateway process has ended by itself within its grace')
def ended(context):
    try:
        status = context.gateway.popen.wait(context.grace)
    except subprocess.TimeoutExpired:
        status = None
    assert status == 0, (status, context.gateway.tail())
