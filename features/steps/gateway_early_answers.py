"""Steps for answers of targets that have not read the whole request."""

import collections

import behave
import gevent
from gevent import pool

from features.support import early_server
from features.support import platform_site
from kingcupfront_core import address
from kingcupfront_gateway import errors
from kingcupfront_gateway import reply_buffers
from kingcupfront_gateway import upstream

SERVICE = 'early'
# How many requests are sent at a time.
CROWD = 3
ENDING_SECONDS = 0.2
SEND_SECONDS = 0.2
READ_SECONDS = 3.0
MAX_SILENCE_SECONDS = 6.0
SMALL_BUFFER_BYTES = 2048
LONG_REQUEST_BYTES = 4_000_000


@behave.given('long requests are allowed')
def long_requests(context):
    context.site.max_body_bytes = 8 * 1024 * 1024


@behave.given(
    'a target "{name}" with receive buffers of {buffer} that answers with '
    '{answer} and {ending} after {seconds:f} s'
)
def early_target(context, name, buffer, answer, ending, seconds):
    size = None if buffer == 'the usual size' else int(buffer.split()[0])
    context.early = early_server.EarlyServer(answer, ending, seconds, size)
    context.early.serve(context.stack)
    entry = {
        'service': SERVICE,
        'address': f'127.0.0.1:{context.early.port}',
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 64,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': 4,
        'born': 1,
    }
    context.site.store.put(f'servers/{name}', entry)


@behave.when(
    'callers send {count:d} requests of {size:d} bytes to it on route '
    '"{route}"'
)
def send_crowd(context, count, size, route):
    site = context.site
    site.offers_backups = site.supports_moves = False
    site.routes[route]['service'] = SERVICE
    site.services[SERVICE] = (
        site._engine_service(SERVICE)
        if route == 'stream'
        else {'name': SERVICE, 'health_path': '/healthz'}
    )
    site.publish()
    site.wait_until(lambda: site.gateway.configuration.version == site.version)
    site.wait_until(
        lambda: any(
            state.target.service == SERVICE
            for state in site.gateway.targets.by_id.values()
        )
    )
    body = b'x' * size
    context.answers = pool.Pool(CROWD).map(
        lambda _: site.ask(route, body=body), range(count)
    )


@behave.then('each caller gets status {status:d} and no part of the answer')
def no_part(context, status):
    found = collections.Counter(
        (a.status, early_server.BODY[:5] in a.body) for a in context.answers
    )
    assert set(found) == {(status, False)}, found


@behave.then('each caller gets status {status:d} and the whole answer')
def whole_answer(context, status):
    found = collections.Counter(
        (a.status, a.is_whole, a.body) for a in context.answers
    )
    assert set(found) == {(status, True, context.early.whole_body)}, found


@behave.then('each caller gets events 1 to {last:d} {end}')
def events(context, last, end):
    found = collections.Counter(
        (a.status, a.is_whole, tuple(platform_site.numbers(a.body)))
        for a in context.answers
    )
    wanted = (200, end == 'and the end', tuple(range(1, last + 1)))
    assert set(found) == {wanted}, found


@behave.given(
    'a connection of a gateway that got a part of an answer without a length '
    'before the target {ending}'
)
def partly_read(context, ending):
    server = early_server.EarlyServer('no length', ending, ENDING_SECONDS)
    _read_part(context, server, b'')
    gevent.sleep(2 * ENDING_SECONDS)


@behave.given(
    'a connection of a gateway whose target takes no byte of the request'
)
def stuck_request(context):
    server = early_server.EarlyServer(
        'no length', 'reads nothing', MAX_SILENCE_SECONDS, SMALL_BUFFER_BYTES
    )
    _read_part(context, server, b'x' * LONG_REQUEST_BYTES)


def _read_part(context, server, body):
    server.serve(context.stack)
    connection = upstream.UpstreamConnection(
        address.Address('127.0.0.1', server.port),
        READ_SECONDS,
        reply_buffers.ReplyBuffers(),
    )
    context.stack.callback(connection.close)
    # The time for the request is over before the kernel gives up, so that only
    # a read can meet its error.
    connection.send('POST', '/', [(b'Host', b'a')], body, SEND_SECONDS)
    connection.read_head(READ_SECONDS)
    assert connection.read_data(READ_SECONDS) == early_server.BODY
    context.connection = connection


@behave.when('the gateway reads on until the answer ends')
def read_on(context):
    with gevent.Timeout(MAX_SILENCE_SECONDS):
        while True:
            context.rest = _rest(context.connection)
            if context.rest != 'silence':
                return
            gevent.sleep(0.01)


@behave.when('the gateway looks {times:d} times whether bytes are unread')
def look(context, times):
    for _ in range(times):
        assert not context.connection.has_unread_data


@behave.then('the rest of the answer is read as {result}')
def rest(context, result):
    found = getattr(context, 'rest', None) or _rest(context.connection)
    assert found == result, found


def _rest(connection):
    try:
        data = connection.read_data(READ_SECONDS)
    except errors.BrokenReplyError:
        return 'a broken reply'
    except errors.SilentTargetError:
        return 'silence'
    return 'the end of a reply' if data is None else repr(data)
