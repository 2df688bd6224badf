"""Steps for connections of callers."""

import http.client
import socket
import time
import types
from unittest import mock

import behave
import gevent
from gevent import event
import h11

from features.support import caller_lines
from features.support import platform_site
from kingcupfront_gateway import caller
from kingcupfront_gateway import draining
from kingcupfront_gateway import objects
from kingcupfront_gateway import server

MEGABYTE = 1000 * 1000
RECEIVE_BUFFER_BYTES = 65536
READ_SECONDS = 0.05
HEALTH_CHECK_INTERVAL_SECONDS = 0.05
WAIT_TICK_SECONDS = 0.001
CHUNKS_PER_WRITE = 10000
PACED_PART_BYTES = 4000


@behave.given('target "{name}" answers with {count:d} MB')
def long_answer(context, name, count):
    context.site.targets[name].answer_padding = b'x' * (count * MEGABYTE)


def _request(attempt, *fields):
    lines = [
        'POST /once/2f HTTP/1.1',
        f'Host: {platform_site.HOST}',
        f'Kingcupfront-Attempt-Id: {attempt}',
        f'Authorization: Token {platform_site.KEY}',
        *fields,
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


@behave.when(
    'a caller sends two requests to route "once" ahead and reads {rate:d} MB '
    'per second'
)
def read_slowly(context, rate):
    sock = socket.socket()
    context.stack.callback(sock.close)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.connect(tuple(context.site.settings.callers))
    for attempt in ('ahead-1', 'ahead-2'):
        sock.sendall(_request(attempt, 'Content-Length: 0'))
    context.received = b''
    while data := sock.recv(int(rate * MEGABYTE * READ_SECONDS)):
        context.received += data
        gevent.sleep(READ_SECONDS)


@behave.then('the connection closes within the first response')
def closes_within(context):
    head, _, body = context.received.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200'), head
    assert b'HTTP/1.1' not in body, body[body.index(b'HTTP/1.1') :][:200]
    length = _length(head)
    assert len(body) < length, (len(body), length)


@behave.given('callers may send bodies of {count:d} bytes')
def body_limit(context, count):
    context.site.max_body_bytes = count


@behave.when('a caller sends a body of {count:d} bytes in chunks of one byte')
def one_byte_chunks(context, count):
    context.sending = gevent.spawn(_send_chunks, context, count)
    context.waits = []
    waiting = gevent.spawn(_record_waits, context.waits)
    context.stack.callback(waiting.kill)
    context.health_seconds = []
    while not context.sending.ready():
        start = time.monotonic()
        with context.site.connection(context.site.settings.readiness) as line:
            line.request('GET', '/v1/readyz')
            assert line.getresponse().status == 200
        context.health_seconds.append(time.monotonic() - start)
        gevent.sleep(HEALTH_CHECK_INTERVAL_SECONDS)


def _record_waits(waits):
    """Record how long a task that is ready waits for the others."""
    while True:
        start = time.process_time()
        gevent.sleep(WAIT_TICK_SECONDS)
        waits.append(time.process_time() - start)


def _send_chunks(context, count):
    with context.site.connection() as line:
        line.connect()
        line.sock.sendall(_request('chunks', 'Transfer-Encoding: chunked'))
        try:
            for _ in range(0, count, CHUNKS_PER_WRITE):
                line.sock.sendall(b'1\r\nx\r\n' * CHUNKS_PER_WRITE)
            line.sock.sendall(b'0\r\n\r\n')
        except OSError:
            pass  # The gateway has answered and closed.
        response = http.client.HTTPResponse(line.sock)
        response.begin()
        return response.status


@behave.then(
    'other tasks wait for at most {seconds:f} seconds of processor time '
    'meanwhile'
)
def short_waits(context, seconds):
    assert max(context.waits) < seconds, max(context.waits)


@behave.then('health checks are answered within {seconds:f} seconds')
def health_in_time(context, seconds):
    assert max(context.health_seconds) < seconds, max(context.health_seconds)


@behave.then('the caller of the body gets status {status:d}')
def body_status(context, status):
    assert context.sending.value == status, context.sending.value


def _change_limits(context, **limits):
    site = context.site
    site.limits |= limits
    site.publish()
    site.wait_until(lambda: site.gateway.configuration.version == site.version)


CHANGES = {
    'body raised': {'max_body_bytes': 200000},
    'body lowered': {'max_body_bytes': 20000},
    'head raised': {'max_header_bytes': 16384},
    'head lowered': {'max_header_bytes': 1024},
}


@behave.when(
    'a caller keeps its connection while the limits change by "{change}"'
)
def keep_connection(context, change):
    site = context.site
    context.line = context.stack.enter_context(site.connection())
    assert site.ask('once', context.line).status == 200
    _change_limits(context, **CHANGES[change])


@behave.when(
    'it sends a request with a body of {count:d} bytes and a header of '
    '{header:d}'
)
def send_sized(context, count, header):
    context.site.send(
        context.line,
        'once',
        body=b'x' * count,
        headers={'X-Long': 'x' * header},
    )


@behave.then('it gets status {status:d}')
def sized_status(context, status):
    answer = platform_site.read(context.line)
    assert answer.status == status, answer


@behave.when(
    'a caller has sent half a body of {count:d} bytes and the limit is lowered'
)
def half_body(context, count):
    context.line = context.stack.enter_context(context.site.connection())
    context.line.connect()
    context.line.sock.sendall(
        _request('half', f'Content-Length: {count}') + b'x' * (count // 2)
    )
    context.rest = b'x' * (count - count // 2)
    gevent.sleep(0.1)
    _change_limits(context, **CHANGES['body lowered'])


@behave.when('the caller sends the rest')
def send_rest(context):
    context.line.sock.sendall(context.rest)
    response = http.client.HTTPResponse(context.line.sock)
    context.line = _Reader(response)


class _Reader:
    """Reads one response like a connection of the library."""

    def __init__(self, response):
        self._response = response

    def getresponse(self):
        self._response.begin()
        return self._response


@behave.when(
    'a caller with a small receive buffer pauses for {seconds:d} seconds '
    'after the head'
)
def pauses(context, seconds):
    sock = socket.socket()
    context.stack.callback(sock.close)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.connect(tuple(context.site.settings.callers))
    deadline = 'Kingcupfront-Deadline-Ms: 20000'
    sock.sendall(_request('pausing', deadline, 'Content-Length: 0'))
    context.received = sock.recv(1000)
    gevent.sleep(seconds)
    try:
        while data := sock.recv(65536):
            context.received += data
            head, _, body = context.received.partition(b'\r\n\r\n')
            if len(body) >= _length(head):
                return
    except ConnectionResetError as error:
        context.received += repr(error).encode()


def _length(head):
    return int(head.lower().split(b'content-length: ')[1].split()[0])


@behave.then('it gets the whole response')
def whole_response(context):
    head, _, body = context.received.partition(b'\r\n\r\n')
    assert len(body) == _length(head), (len(body), body[-80:])


@behave.given('an idle time-out of {milliseconds:d} ms')
def idle_timeout(context, milliseconds):
    context.site.limits['idle_timeout_ms'] = milliseconds


def _read_later(context, sock):
    response = http.client.HTTPResponse(sock)
    context.line = _Reader(response)


@behave.when(
    'a caller sends a body of {count:d} bytes at {rate:d} bytes per second'
)
def paced_body(context, count, rate):
    sock = socket.create_connection(tuple(context.site.settings.callers))
    context.stack.callback(sock.close)
    sock.sendall(_request('paced', f'Content-Length: {count}'))
    start = time.monotonic()
    try:
        for sent in range(0, count, PACED_PART_BYTES):
            due = start + sent / rate
            gevent.sleep(max(0.0, due - time.monotonic()))
            sock.sendall(b'x' * PACED_PART_BYTES)
    except OSError:
        pass  # The gateway has answered and closed.
    _read_later(context, sock)


@behave.when(
    'a caller sends {count:d} bytes to a path without a route and then a '
    'request on one connection'
)
def refused_then_served(context, count):
    site = context.site
    context.attempt = site.new_id()
    with site.connection() as line:
        first = site.ask('none', line, body=b'x' * count)
        second = site.ask('once', line, attempt=context.attempt)
    context.statuses = [first.status, second.status]


@behave.then('the statuses are {first:d} and {second:d}')
def statuses(context, first, second):
    assert context.statuses == [first, second], context.statuses


@behave.when(
    'a caller declares a body of {count:d} bytes and sends none of it'
)
def declares_body(context, count):
    sock = socket.create_connection(tuple(context.site.settings.callers))
    context.stack.callback(sock.close)
    sock.sendall(_request('declared', f'Content-Length: {count}'))
    _read_later(context, sock)


@behave.given('callers may hold {count:d} bytes together')
def budget(context, count):
    context.site.gateway.caller_budget.limit = count


@behave.when('a caller sends {sent:d} of {count:d} bytes and stops')
def stops_short(context, sent, count):
    sock = socket.create_connection(tuple(context.site.settings.callers))
    context.stack.callback(sock.close)
    sock.sendall(_request('short', f'Content-Length: {count}') + b'x' * sent)
    budget = context.site.gateway.caller_budget
    context.site.wait_until(lambda: budget.total > sent)
    context.stopped = _Reader(http.client.HTTPResponse(sock))


@behave.then('the caller that stopped gets 503 with a time to retry')
def stopped_refused(context):
    answer = platform_site.read(context.stopped)
    assert answer.status == 503, answer
    assert float(answer.headers['retry-after']) > 0, answer


@behave.then('the state dump counts {count:d} drop for memory')
def drops_counted(context, count):
    dump = platform_site.dump(context.site)
    assert dump['callers']['dropped']['memory'] == count, dump['callers']
    counters = dump['metrics']['counters']
    assert counters['gateway_caller_drops_total{memory}'] == count, counters


class _RefusingProtocol(h11.Connection):
    """Refuses responses as it does after an error of its user."""

    def send(self, event):
        if isinstance(event, h11.Response):
            self.send_failed()
            raise h11.LocalProtocolError('refused by the test')
        return super().send(event)


@behave.when(
    'the HTTP library refuses the first response to a request to route '
    '"{route}"'
)
def library_refuses(context, route):
    site = context.site
    context.caller = caller_lines.Caller(
        context.stack, tuple(site.settings.callers)
    )
    with mock.patch.object(
        caller.CallerConnection,
        '_new_protocol',
        lambda _: _RefusingProtocol(h11.SERVER),
    ):
        context.caller.send(caller_lines.request(site, route))
        context.found = context.caller.read()


@behave.then('the caller gets the bare last response {status:d}')
def bare_response(context, status):
    found = context.found
    assert found.summary == str(status), found
    assert found.headers['connection'] == 'close', found
    assert context.caller.sock.recv(1) == b''


class _BlockedSocket:
    """A socket on which writing waits for an event."""

    def __init__(self, data):
        self.data = data
        self.written = b''
        self.may_write = event.Event()

    def recv(self, size):
        data, self.data = self.data[:size], self.data[size:]
        return data

    def sendall(self, data):
        self.may_write.wait()
        self.written += data

    def settimeout(self, seconds):
        pass


@behave.given('a caller whose request is refused before it is read as a whole')
def refused_early(context):
    limits = objects.CallerLimits()
    declared = f'Content-Length: {limits.body_bytes + 1}'
    context.sock = _BlockedSocket(_request('early', declared))
    # What the server needs to read and refuse a request.
    own = types.SimpleNamespace(
        _unanswered=None,
        _send_text=None,
        _send_over_budget=None,
    )
    own._send_text = types.MethodType(server.Server._send_text, own)

    def serve():
        context.connection = caller.CallerConnection(
            context.sock, lambda: limits
        )
        server.Server._serve_next(own, context.connection)

    context.task = gevent.spawn(serve)
    gevent.sleep(0.05)


@behave.when('the process ends requests while the refusal is being written')
def ends_meanwhile(context):
    process = types.SimpleNamespace(
        active_requests=[],
        tasks_by_connection={context.connection: context.task},
    )
    draining._end_without_response(process)
    gevent.sleep(0.05)
    context.sock.may_write.set()
    context.task.join(timeout=1)


@behave.then('the refusal is written as a whole')
def refusal_whole(context):
    assert context.task.successful(), context.task.exception
    head, _, body = context.sock.written.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 413'), head
    assert len(body) == _length(head), body
