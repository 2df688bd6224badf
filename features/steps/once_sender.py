"""Steps for the sender of calls, against targets with scripted sockets."""

import contextlib

import behave
import gevent
from gevent import server
from gevent import socket

from kingcupfront_core import address
from kingcupfront_once import call
from kingcupfront_once import errors
from kingcupfront_once import sender

LARGE_BODY = b'x' * (2 * 1024 * 1024)
SILENCE_SECONDS = 30
SHORT_TIMEOUT_SECONDS = 0.2
REFUSAL = b'Kingcupfront-Outcome: not_run\r\n'
SCRIPTS_BY_SITUATION = {}


def http_response(status, body=b'{}', extra=b''):
    head = b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n' % (status, len(body))
    return head + extra + b'\r\n' + body


def receive(sock):
    chunk = sock.recv(65536)
    if not chunk:
        raise ConnectionResetError('the sender closed the connection')
    return chunk


def read_request(sock):
    data = b''
    while b'\r\n\r\n' not in data:
        data += receive(sock)
    head, _, body = data.partition(b'\r\n\r\n')
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            while len(body) < int(line.split(b':')[1]):
                body += receive(sock)
    return body


def script(name):
    def decorate(function):
        SCRIPTS_BY_SITUATION[name] = function
        return function

    return decorate


def add_response_script(name, data):
    def run(sock):
        read_request(sock)
        sock.sendall(data)

    SCRIPTS_BY_SITUATION[name] = run


@script('a response comes before the request')
def respond_early(sock):
    sock.sendall(http_response(200))
    gevent.sleep(SILENCE_SECONDS)


@script('the connection is closed at once')
def close_at_once(sock):
    sock.recv(1)


@script('the connection is closed after a part of the request')
def read_partially(sock):
    sock.recv(1024)


@script('the connection is closed after the request')
def read_and_close(sock):
    read_request(sock)


@script('the request is read and never answered')
def never_answer(sock):
    read_request(sock)
    gevent.sleep(SILENCE_SECONDS)


@script('it refuses the request before reading it')
def refuse_early(sock):
    sock.recv(1)
    sock.sendall(http_response(503, extra=REFUSAL))
    read_request(sock)


add_response_script('the response is not HTTP', b'hello\r\n\r\n')
add_response_script(
    'the response ends within the headers', b'HTTP/1.1 200 OK\r\nContent-'
)
add_response_script(
    'the response ends within the body', http_response(200, b'0123456789')[:-5]
)
add_response_script(
    'the last chunk is missing',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n',
)
add_response_script(
    'the response has no declared length', b'HTTP/1.1 200 OK\r\n\r\n{}'
)
add_response_script(
    'the declared length is not a number',
    b'HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\n{}',
)
add_response_script(
    'a refusal lacks its last byte', http_response(503, extra=REFUSAL)[:-1]
)
add_response_script(
    'only an interim response arrives', b'HTTP/1.1 103 Hints\r\n\r\n'
)
add_response_script(
    'the response body is too large',
    http_response(200, b'x' * (sender.MAX_RESPONSE_BYTES + 1)),
)
add_response_script(
    'it refuses the request after reading it',
    http_response(503, extra=REFUSAL),
)
add_response_script(
    'it responds with 200 and claims not to have run',
    http_response(200, extra=REFUSAL),
)
for status in (200, 204, 409, 429, 500, 503, 504):
    body = b'' if status == 204 else b'{}'
    add_response_script(
        f'it responds with {status}', http_response(status, body)
    )


def serve(context, handle):
    listener = server.StreamServer(('127.0.0.1', 0), handle)
    listener.start()
    context.stack.callback(listener.stop, timeout=0)
    return address.Address('127.0.0.1', listener.server_port)


def ignore_socket_errors(run):
    def handle(sock, source):
        with contextlib.suppress(OSError):
            run(sock)

    return handle


def bind_socket(context, backlog=None):
    sock = context.stack.enter_context(
        contextlib.closing(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    )
    sock.bind(('127.0.0.1', 0))
    if backlog is not None:
        sock.listen(backlog)
    return address.Address(*sock.getsockname())


def serve_with_full_backlog(context):
    target = bind_socket(context, backlog=0)
    for _ in range(4):
        filler = context.stack.enter_context(
            contextlib.closing(socket.socket())
        )
        filler.setblocking(False)
        filler.connect_ex(tuple(target))
    return target


@behave.given('a target where {what}')
def given_target(context, what):
    context.request = call.Call(
        'register', 'north', 'POST', '/lots', body=LARGE_BODY
    )
    context.check = lambda: None
    if what == 'nothing listens':
        context.target = bind_socket(context)
    elif what == 'no connection is accepted':
        context.target = serve_with_full_backlog(context)
    elif what == 'each response echoes its request and the first is late':
        context.target = serve(context, echo_first_late())
    elif what in SCRIPTS_BY_SITUATION:
        context.target = serve(
            context, ignore_socket_errors(SCRIPTS_BY_SITUATION[what])
        )
    else:
        context.target = serve(context, ignore_socket_errors(never_answer))
        prevent_write(context, what)


def prevent_write(context, what):
    def expired():
        raise errors.KeyExpiredError('the key has expired')

    if what == 'the check before the first write fails':
        context.check = expired
    elif what == 'the path contains a blank':
        context.request = call.Call('register', 'north', 'POST', '/a b')
    elif what == 'a header contains a line break':
        context.request = call.Call(
            'register', 'north', 'POST', '/a', (('X-A', 'b\r\nc'),)
        )
    else:
        raise AssertionError(f'no script for {what!r}')


def echo_first_late():
    request_bodies = []

    def handle(sock, source):
        body = read_request(sock)
        request_bodies.append(body)
        if len(request_bodies) == 1:
            gevent.sleep(2 * SHORT_TIMEOUT_SECONDS)
        sock.sendall(http_response(200, body))

    return handle


def with_timeout(request, seconds):
    return call.Call(
        request.service,
        request.team,
        request.method,
        request.path,
        request.headers,
        request.body,
        timeout_seconds=seconds,
    )


@behave.when('a sender sends it a call')
def send(context):
    # Only a target that never answers reaches this time-out.
    request = with_timeout(context.request, 3.0)
    context.result = sender.Sender().send(
        context.target, request, context.check
    )


@behave.then('the sender reports "{outcome}" with code "{code}"')
@behave.then('the sender reports "{outcome}" with code ""')
def check_result(context, outcome, code=''):
    result = context.result
    assert (result.outcome, result.code) == (outcome, code), result


@behave.when('a sender sends it two calls, the first with a short time-out')
def send_two(context):
    first = call.Call('register', 'north', 'POST', '/a', body=b'first')
    second = call.Call('register', 'north', 'POST', '/a', body=b'second')
    context.results = [
        sender.Sender().send(
            context.target, with_timeout(first, SHORT_TIMEOUT_SECONDS)
        ),
        sender.Sender().send(context.target, second),
    ]


@behave.then('the first is "{outcome}" and the second got its own response')
def check_own_responses(context, outcome):
    first, second = context.results
    assert first.outcome == outcome, first
    assert (second.outcome, second.body) == ('done', b'second'), second
