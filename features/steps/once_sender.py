"""Steps for the sender, against scripted sockets."""

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
SCRIPTS = {}


def answer(status, body=b'{}', extra=b''):
    head = b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n' % (status, len(body))
    return head + extra + b'\r\n' + body


def receive(sock):
    part = sock.recv(65536)
    if not part:
        raise ConnectionResetError('the sender has gone')
    return part


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
        SCRIPTS[name] = function
        return function

    return decorate


def answering(name, data):
    def run(sock):
        read_request(sock)
        sock.sendall(data)

    SCRIPTS[name] = run


@script('an answer comes before the request')
def early(sock):
    sock.sendall(answer(200))
    gevent.sleep(SILENCE_SECONDS)


@script('the connection is closed at once')
def closed(sock):
    sock.recv(1)


@script('a part of the request is read')
def partial(sock):
    sock.recv(1024)


@script('the request is read and dropped')
def dropped(sock):
    read_request(sock)


@script('the request is read in silence')
def silent(sock):
    read_request(sock)
    gevent.sleep(SILENCE_SECONDS)


@script('it refuses before reading')
def refuse_early(sock):
    sock.recv(1)
    sock.sendall(answer(503, extra=REFUSAL))
    read_request(sock)


answering('the answer is not HTTP', b'hello\r\n\r\n')
answering('half of the head arrives', b'HTTP/1.1 200 OK\r\nContent-')
answering('half of the body arrives', answer(200, b'0123456789')[:-5])
answering(
    'the last chunk is missing',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n',
)
answering('the body has no length', b'HTTP/1.1 200 OK\r\n\r\n{}')
answering(
    'the length is not a number',
    b'HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\n{}',
)
answering('half of a refusal arrives', answer(503, extra=REFUSAL)[:-1])
answering('only an interim answer arrives', b'HTTP/1.1 103 Hints\r\n\r\n')
answering(
    'the body is too large',
    answer(200, b'x' * (sender.MAX_RESPONSE_BYTES + 1)),
)
answering('it refuses after reading', answer(503, extra=REFUSAL))
answering(
    'it answers 200 that claims not to have run', answer(200, extra=REFUSAL)
)
for status in (200, 204, 409, 429, 500, 503, 504):
    body = b'' if status == 204 else b'{}'
    answering(f'it answers {status}', answer(status, body))


def serve(context, handle):
    listener = server.StreamServer(('127.0.0.1', 0), handle)
    listener.start()
    context.stack.callback(listener.stop, timeout=0)
    return address.Address('127.0.0.1', listener.server_port)


def quiet(run):
    def handle(sock, source):
        with contextlib.suppress(OSError):
            run(sock)

    return handle


def bound(context, backlog=None):
    sock = context.stack.enter_context(
        contextlib.closing(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    )
    sock.bind(('127.0.0.1', 0))
    if backlog is not None:
        sock.listen(backlog)
    return address.Address(*sock.getsockname())


def full(context):
    target = bound(context, backlog=0)
    for _ in range(4):
        filler = context.stack.enter_context(
            contextlib.closing(socket.socket())
        )
        filler.setblocking(False)
        filler.connect_ex(tuple(target))
    return target


@behave.given('a target where {what}')
def given_target(context, what):
    context.work = call.Call(
        'register', 'north', 'POST', '/lots', body=LARGE_BODY
    )
    context.check = lambda: None
    if what == 'nothing listens':
        context.target = bound(context)
    elif what == 'no connection is accepted':
        context.target = full(context)
    elif what == 'the first answer is late and each names its request':
        context.target = serve(context, late_echo())
    elif what in SCRIPTS:
        context.target = serve(context, quiet(SCRIPTS[what]))
    else:
        context.target = serve(context, quiet(silent))
        prevent(context, what)


def prevent(context, what):
    def expired():
        raise errors.KeyExpiredError('too late')

    if what == 'the check right before the write fails':
        context.check = expired
    elif what == 'the path cannot be sent':
        context.work = call.Call('register', 'north', 'POST', '/a b')
    elif what == 'a header cannot be sent':
        context.work = call.Call(
            'register', 'north', 'POST', '/a', (('X-A', 'b\r\nc'),)
        )
    else:
        raise AssertionError(f'no script for {what!r}')


def late_echo():
    seen = []

    def handle(sock, source):
        body = read_request(sock)
        seen.append(body)
        if len(seen) == 1:
            gevent.sleep(2 * SHORT_TIMEOUT_SECONDS)
        sock.sendall(answer(200, body))

    return handle


def patient(work, seconds):
    return call.Call(
        work.service,
        work.team,
        work.method,
        work.path,
        work.headers,
        work.body,
        timeout_seconds=seconds,
    )


@behave.when('a sender sends it an action')
def send(context):
    # Silence must end; every other row ends by itself much sooner.
    work = patient(context.work, 3.0)
    context.result = sender.Sender().send(context.target, work, context.check)


@behave.then('the sender reports "{outcome}" with code "{code}"')
@behave.then('the sender reports "{outcome}" with code ""')
def reports(context, outcome, code=''):
    got = context.result
    assert (got.outcome, got.code) == (outcome, code), got


@behave.when('a sender sends it two actions, the first without patience')
def send_two(context):
    first = call.Call('register', 'north', 'POST', '/a', body=b'first')
    second = call.Call('register', 'north', 'POST', '/a', body=b'second')
    context.results = [
        sender.Sender().send(
            context.target, patient(first, SHORT_TIMEOUT_SECONDS)
        ),
        sender.Sender().send(context.target, second),
    ]


@behave.then('the first is "{outcome}" and the second got its own answer')
def own_answers(context, outcome):
    first, second = context.results
    assert first.outcome == outcome, first
    assert (second.outcome, second.body) == ('done', b'second'), second
