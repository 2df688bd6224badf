"""Steps for calls that are answered with JSON."""

import json

import behave
import gevent
from gevent import server as servers

from kingcupfront_core import address
from kingcupfront_gateway import errors
from kingcupfront_gateway import json_calls

ANSWER = json.dumps(['x' * 100] * 100).encode()


@behave.given(
    'a server whose answer comes in {pieces:d} pieces, {gap:f} seconds apart'
)
def slow_server(context, pieces, gap):
    size = -(-len(ANSWER) // pieces)

    def handle(sock, _):
        sock.recv(65536)
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(ANSWER)}\r\n\r\n'
        sock.sendall(head.encode())
        for at in range(0, len(ANSWER), size):
            sock.sendall(ANSWER[at : at + size])
            gevent.sleep(gap)

    listener = servers.StreamServer(('127.0.0.1', 0), handle)
    listener.start()
    context.stack.callback(listener.stop, 0)
    context.to = address.Address('127.0.0.1', listener.server_port)


@behave.when('it is called with a timeout of {timeout:f} seconds')
def call(context, timeout):
    calls = json_calls.JsonConnection(context.to)
    context.stack.callback(calls.close)
    try:
        status, answer = calls.call('GET', '/', timeout=timeout)
        is_whole = status == 200 and answer == json.loads(ANSWER)
        context.result = 'whole' if is_whole else answer
    except errors.SilentTargetError:
        context.result = 'silent'


@behave.then('the answer is {result}')
def result(context, result):
    assert context.result == result, context.result
