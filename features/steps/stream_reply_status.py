"""Steps for replies to an entry's clients with any status."""

import behave
import gevent

from kingcupfront_cli import caller
from kingcupfront_cli import operators
from kingcupfront_config import consul
from kingcupfront_config import settings
from kingcupfront_core import errors
from kingcupfront_once import call
from kingcupfront_once import sender
from kingcupfront_order import client
from kingcupfront_order import order
from kingcupfront_stream import engine
from kingcupfront_stream import errors as stream_errors

# Above the client's own time limits, of which the longest is 6 s.
MARGIN_SECONDS = 5.0
UPLOAD_BYTES = 4_000_000


def _open_stream(target, limit):
    with engine.EngineClient().start(target, '/v1', 'g-1', b'{}', limit):
        return 'nothing'


def _read_event(target, limit):
    client = engine.EngineClient()
    with client.start(target, '/v1', 'g-1', b'{}', limit) as reader:
        return f'the data {[event.data for event in reader.read(limit)]}'


def _read_load(target, _):
    engine.EngineClient().load(target)
    return 'nothing'


def _read_cache_events(target, _):
    engine.EngineClient().cache_events(target, 0, 0.1)
    return 'nothing'


def _send_action(target, limit):
    request = call.Call(
        'desk', 'north', 'POST', '/act', body=b'x', timeout_seconds=limit
    )
    return str(sender.Sender().send(target, request).outcome)


def _read_state(target, _):
    client.OrderClient().fetch_state(target)
    return 'nothing'


def _send_order(target, _):
    new_order = order.Order(order.Kind.LOAD, 3, 'large', '1')
    client.OrderClient().send(target, new_order)
    return 'nothing'


def _source(target):
    return consul.ConsulSource(
        settings.Platform(configuration=str(target), instances=str(target))
    )


def _read_configuration(target, _):
    _source(target).read('objects', 0, 0.1)
    return 'nothing'


def _read_instances(target, _):
    _source(target).instances(0, 0.1)
    return 'nothing'


def _call_service(target, _):
    one = caller.Caller([f'http://{target}'], 'key')
    return f'status {one.call("POST", "/services/desk", b"x").status}'


def _read_field(target, _):
    one = caller.Caller([f'http://{target}'], 'key')
    found = one.call('POST', '/', b'x').headers['X-Odd']
    return f'the value {found.encode("latin-1")!r}'


def _upload(target, _):
    one = caller.Caller([f'http://{target}'], 'key')
    response = one.call('POST', '/services/desk', b'x' * UPLOAD_BYTES)
    return f'status {response.status}'


def _stream_answer(target, _):
    one = caller.Caller([f'http://{target}'], 'key')
    return f'{len(list(one.stream({"prompt": "hello"})))} tokens'


def _read_status(target, _):
    operators._get(str(target), '/admin/v1/status', None)
    return 'nothing'


CALLS = {
    'opens a stream on': _open_stream,
    'reads an event of': _read_event,
    'reads the load of': _read_load,
    'reads the cache events of': _read_cache_events,
    'sends an action to': _send_action,
    'reads the state of': _read_state,
    'sends an order to': _send_order,
    'reads the configuration from': _read_configuration,
    'reads the instances from': _read_instances,
    'calls a service at': _call_service,
    'reads the field of a reply of': _read_field,
    'uploads to a service at': _upload,
    'streams an answer from': _stream_answer,
    'reads the status of': _read_status,
}


@behave.when("an entry's client {name} it within {limit:f} seconds")
def call_raw(context, name, limit):
    context.call_error = None
    try:
        with gevent.Timeout(limit + MARGIN_SECONDS):
            context.result = CALLS[name](context.server_address, limit)
    except errors.KingcupfrontError as error:
        context.call_error = error
        context.result = type(error).__name__
        if isinstance(error, stream_errors.RefusedError):
            context.result += f' {error.status}'
    except gevent.Timeout:
        context.result = 'no end'


@behave.then("the client's call ended with {expected}")
def call_ended(context, expected):
    assert context.result == expected, (context.result, context.call_error)
    if isinstance(context.call_error, stream_errors.EngineError):
        assert context.call_error.sent, context.call_error
