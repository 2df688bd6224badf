"""Steps for the limits on HTTP requests of callers."""

import contextlib
import json
import socket
import ssl
import time
from unittest import mock

import behave
import bottle
import trustme

from features.support import fleet
from kingcupfront_config import settings
from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_entry import error_responses
from kingcupfront_entry import errors
from kingcupfront_entry import handler
from kingcupfront_entry import listener
from kingcupfront_entry import request_body

LIMIT = 1000
LONG = {'seconds': 20}
POST = 'POST /echo HTTP/1.1\r\nHost: x\r\n'
CHUNKED = POST + 'Transfer-Encoding: chunked\r\n\r\n'
REQUESTS = {
    'a request line of 9000 bytes': f'GET /{"x" * 9000} HTTP/1.1\r\n\r\n',
    'a header of 40000 bytes': f'{POST}A: {"x" * 40000}\r\n\r\n',
    '2000 headers': POST + 'Abcdefgh: ijklmnopq\r\n' * 2000 + '\r\n',
    '150 small headers': POST + 'A: b\r\n' * 150 + '\r\n',
    'headers without an end': POST + 'A: b',
    'no version': 'GET /echo\r\n\r\n',
    'bytes that are not a request': '\x00\x01\x02\r\n\r\n',
    'a header without a colon': POST + 'what is this\r\n\r\n',
    'a header with a space in its name': POST
    + 'Content-Length : 5\r\n\r\nhello',
    'a folded header': POST + 'A: b\r\n c\r\n\r\n',
    'a content length of "5x"': POST + 'Content-Length: 5x\r\n\r\nhello',
    'a content length of "-5"': POST + 'Content-Length: -5\r\n\r\nhello',
    'a content length of "+5"': POST + 'Content-Length: +5\r\n\r\nhello',
    'two content lengths': POST
    + 'Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello',
    'a content length and a chunked body': POST
    + 'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'an unknown transfer coding': POST
    + 'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
    'a chunk without a valid size': CHUNKED + 'zz\r\nhello\r\n0\r\n\r\n',
    'half of its body': POST + 'Content-Length: 10\r\n\r\nhello',
    'half of a chunked body': CHUNKED + '5\r\nhello\r\n5\r\nhe',
    'a body over the limit': POST
    + f'Content-Length: {LIMIT + 1}\r\n\r\n{"x" * (LIMIT + 1)}',
    'a chunked body over the limit': CHUNKED
    + f'{LIMIT + 1:x}\r\n{"x" * (LIMIT + 1)}\r\n0\r\n\r\n',
    'an unknown path': 'GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n',
    'an unknown method': 'PUT /echo HTTP/1.1\r\nHost: x\r\n\r\n',
    'a request that raises an unexpected exception': (
        'GET /bug HTTP/1.1\r\nHost: x\r\n\r\n'
    ),
    'a body that the handler does not read': (
        'POST /refuse HTTP/1.1\r\nHost: x\r\n'
        'Content-Length: 100000000\r\n\r\nhello'
    ),
}
SLOW = {
    'headers byte by byte': POST + 'A: ' + 'x' * 1000,
    'a body byte by byte': POST + 'Content-Length: 900\r\n\r\n' + 'x' * 900,
}
HALF_CLOSED = ('without an end', 'half of')


def build(ended):
    app = bottle.Bottle()

    @app.post('/echo')
    def echo():
        try:
            return request_body.read(LIMIT)
        except core_errors.KingcupfrontError as error:
            return error_responses.failure_response(
                error, outcomes.Outcome.NOT_RUN
            )

    @app.post('/refuse')
    def refuse():
        return error_responses.failure_response(
            errors.NotAllowedError('no'), outcomes.Outcome.NOT_RUN
        )

    @app.get('/bug')
    def bug():
        return {}['secret detail']

    @app.get('/endless')
    def endless():
        try:
            while True:
                yield b'x' * 65536
        finally:
            ended.append(True)

    return app


@behave.given('an http listener with small limits')
def listen(context, tls=None):
    stack = context.stack
    for name in ('HEAD_SECONDS', 'IDLE_SECONDS', 'WRITE_SECONDS'):
        stack.enter_context(mock.patch.object(handler, name, 0.5))
    stack.enter_context(mock.patch.object(listener, 'HANDSHAKE_SECONDS', 0.5))
    stack.enter_context(mock.patch.object(request_body, 'BODY_SECONDS', 0.5))
    context.ended = []
    where = settings.Listener(address='127.0.0.1:0', tls=tls)
    context.where = stack.enter_context(
        listener.serving(build(context.ended), where)
    )


def connect(context):
    sock = socket.create_connection(tuple(context.where), timeout=20)
    context.stack.callback(sock.close)
    return sock


def receive(sock):
    data = b''
    with contextlib.suppress(ConnectionError):
        while part := sock.recv(65536):
            data += part
            head, _, rest = data.partition(b'\r\n\r\n')
            for line in head.lower().split(b'\r\n'):
                name, _, value = line.partition(b': ')
                if name == b'content-length' and len(rest) >= int(value):
                    return data
    return data


@behave.when('an http caller sends {request}')
def send(context, request):
    context.other = connect(context)
    sock = connect(context)
    with contextlib.suppress(ConnectionError):
        if request in SLOW:
            for character in SLOW[request]:
                sock.sendall(character.encode())
                time.sleep(0.02)
        else:
            sock.sendall(REQUESTS[request].encode())
        if any(text in request for text in HALF_CLOSED):
            sock.shutdown(socket.SHUT_WR)
    context.data = receive(sock)


@behave.then('the http response is {status:d} with the typed error "{code}"')
def check(context, status, code):
    head, _, text = context.data.partition(b'\r\n\r\n')
    assert head.split()[1] == str(status).encode(), context.data
    error = json.loads(text)['error']
    assert error['code'] == code, error
    assert set(error) == {'message', 'type', 'param', 'code'}, error
    assert b'secret detail' not in context.data
    assert b'Traceback' not in context.data
    assert b'kingcupfront-outcome: ' in head.lower(), head


@behave.then('another http caller on an open connection is served')
def check_other(context):
    # The first connection may have been closed as idle by now.
    for sock in (context.other, connect(context)):
        with contextlib.suppress(ConnectionError):
            sock.sendall((POST + 'Content-Length: 5\r\n\r\nhello').encode())
            data = receive(sock)
            if data:
                break
    assert data.endswith(b'\r\n\r\nhello'), data


@behave.when('an http caller opens a connection and sends nothing')
def send_nothing(context):
    context.data = receive(connect(context))


@behave.then('the http connection is closed without a response')
def check_closed(context):
    assert context.data == b'', context.data


@behave.when('an http caller requests an endless response and reads nothing')
def ask_endless(context):
    sock = connect(context)
    sock.sendall(b'GET /endless HTTP/1.1\r\nHost: x\r\n\r\n')


@behave.then('the task of the http response has ended')
def check_ended(context):
    fleet.until(lambda: context.ended, 'the task has ended', **LONG)


@behave.when('an http caller pipelines {count:d} requests on one connection')
def send_many(context, count):
    sock = connect(context)
    rows = [f'{POST}Content-Length: 2\r\n\r\n{n:02}' for n in range(count)]
    sock.sendall(''.join(rows).encode())
    data = b''
    while data.count(b'HTTP/1.1 200') < count or not data.endswith(b'04'):
        data += sock.recv(65536)
    context.data = data


@behave.then('the http responses match the requests, in order')
def check_order(context):
    parts = context.data.split(b'HTTP/1.1 200')[1:]
    assert [p[-2:] for p in parts] == [b'%02d' % n for n in range(5)], parts


@behave.given('an http listener with TLS and {clients}')
def listen_tls(context, clients):
    authority = trustme.CA()
    context.authority = authority
    folder = context.stack.enter_context(_folder())
    certificate = authority.issue_cert('127.0.0.1')
    certificate.private_key_pem.write_to_path(f'{folder}/key.pem')
    certificate.cert_chain_pems[0].write_to_path(f'{folder}/cert.pem')
    authority.cert_pem.write_to_path(f'{folder}/authority.pem')
    tls = {'certificate': f'{folder}/cert.pem', 'key': f'{folder}/key.pem'}
    if clients == 'clients with a certificate':
        tls['authority'] = f'{folder}/authority.pem'
    listen(context, tls)


def _folder():
    return fleet.tempfile.TemporaryDirectory()


@behave.when('an http caller connects over TLS with {certificate}')
def ask_tls(context, certificate):
    sock = connect(context)
    request = (POST + 'Content-Length: 5\r\n\r\nhello').encode()
    client = ssl.create_default_context()
    context.authority.configure_trust(client)
    if certificate == 'a certificate':
        context.authority.issue_cert('127.0.0.1').configure_cert(client)
    try:
        if certificate != 'plain text instead':
            sock = client.wrap_socket(sock, server_hostname='127.0.0.1')
        sock.sendall(request)
        context.data = receive(sock)
    except OSError:
        context.data = b''


@behave.then('the TLS caller {result}')
def check_tls(context, result):
    served = context.data.endswith(b'hello')
    assert served == (result == 'is served'), context.data
