"""Steps for servers that send without end to an entry's clients."""

import time

import behave
import gevent

from kingcupfront_once import call
from kingcupfront_once import sender
from kingcupfront_stream import engine
from kingcupfront_stream import errors

TICK_SECONDS = 0.02
MAX_WAIT_SECONDS = 1.0


def _open_stream(target, limit):
    with engine.EngineClient().start(target, '/v1', 'g-1', b'{}', limit):
        pass


def _read_events(target, limit):
    client = engine.EngineClient()
    with client.start(target, '/v1', 'g-1', b'{}', limit) as reader:
        while reader.read(limit):
            pass


def _read_load(target, _):
    engine.EngineClient().load(target)


def _send_action(target, limit):
    request = call.Call(
        'desk', 'north', 'POST', '/act', body=b'x', timeout_seconds=limit
    )
    return str(sender.Sender().send(target, request).outcome)


CALLS = {
    'opens a stream on': _open_stream,
    'reads events of': _read_events,
    'reads the load of': _read_load,
    'sends an action to': _send_action,
}


def _tick(context):
    last = time.monotonic()
    while True:
        gevent.sleep(TICK_SECONDS)
        now = time.monotonic()
        context.longest_wait = max(context.longest_wait, now - last)
        last = now


@behave.when(
    "an entry's client {name} it with a time limit of {limit:f} seconds"
)
def call_endless(context, name, limit):
    context.longest_wait = 0.0
    ticker = gevent.spawn(_tick, context)
    start = time.monotonic()
    try:
        context.result = CALLS[name](context.server_address, limit)
    except errors.EngineError as error:
        context.result = type(error).__name__
    context.seconds = time.monotonic() - start
    gevent.sleep(2 * TICK_SECONDS)
    ticker.kill()


@behave.then(
    "the client's call ends within {seconds:f} seconds with {expected}"
)
def call_ends(context, seconds, expected):
    assert context.result == expected, context.result
    assert context.seconds < seconds, context.seconds


@behave.then('no other task waited for over a second meanwhile')
def others_ran(context):
    assert context.longest_wait < MAX_WAIT_SECONDS, context.longest_wait
