"""Steps for JSON calls over persistent connections."""

import json
import time

import behave
import gevent
from gevent import server as servers

from kingcupfront_core import address
from kingcupfront_gateway import errors
from kingcupfront_gateway import json_calls

ANSWER = json.dumps(['x' * 100] * 100).encode()


@behave.given(
    'a server that sends its response in {pieces:d} pieces, {gap:f} seconds '
    'apart'
)
def slow_server(context, pieces, gap):
    piece_bytes = -(-len(ANSWER) // pieces)

    def handle(sock, _):
        sock.recv(65536)
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(ANSWER)}\r\n\r\n'
        sock.sendall(head.encode())
        for at in range(0, len(ANSWER), piece_bytes):
            sock.sendall(ANSWER[at : at + piece_bytes])
            gevent.sleep(gap)

    listener = servers.StreamServer(('127.0.0.1', 0), handle)
    listener.start()
    context.stack.callback(listener.stop, 0)
    context.server_address = address.Address('127.0.0.1', listener.server_port)


@behave.when('a JSON call is made to it with a timeout of {timeout:f} seconds')
def call(context, timeout):
    context.call_error = None
    start = time.monotonic()
    calls = json_calls.JsonConnection(context.server_address)
    context.stack.callback(calls.close)
    try:
        status, answer = calls.call('GET', '/', timeout=timeout)
        is_whole = status == 200 and answer == json.loads(ANSWER)
        context.call_result = 'the complete response' if is_whole else answer
    except errors.SilentTargetError as error:
        context.call_result, context.call_error = 'a timeout', error
    except errors.TargetError as error:
        context.call_result, context.call_error = error.code, error
    context.call_seconds = time.monotonic() - start


@behave.then('the JSON call ends with {result}')
def call_result(context, result):
    assert context.call_result == result, context.call_result
