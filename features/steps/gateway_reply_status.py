"""Steps for replies that are no sound HTTP."""

import behave

from features.support import raw_server
from kingcupfront_core import address


@behave.given('a plain target "{name}" that answers with the status {kind}')
@behave.given('a plain target "{name}" whose reply has {kind}')
def raw_target(context, name, kind):
    context.raw = raw_server.RawServer(kind).serve(context.stack)
    entry = {
        'service': 'raw',
        'address': f'127.0.0.1:{context.raw.port}',
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': 4,
        'born': 1,
    }
    context.site.store.put(f'servers/{name}', entry)


@behave.when(
    'a caller sends a request to the raw target "{name}" on route "{route}"'
)
def ask_raw(context, name, route):
    site = context.site
    site.wait_until(lambda: name in site.gateway.targets.by_id)
    site.routes[route]['service'] = 'raw'
    site.publish()
    site.wait_until(lambda: site.gateway.configuration.version == site.version)
    context.answer = site.ask(route)


@behave.then('the response of the raw target has status {status:d}')
def response_status(context, status):
    assert context.answer.status == status, context.answer


@behave.then('the response of the raw target has its whole body')
def response_body(context):
    assert context.answer.is_whole, context.answer
    assert context.answer.body == raw_server.BODY, context.answer


@behave.then(
    'the response of the raw target has the value "{value}" in its field'
)
def response_field(context, value):
    found = context.answer.headers['x-odd'].encode('latin-1')
    wanted = value.encode().decode('unicode_escape').encode('latin-1')
    assert found == wanted, (found, wanted)


@behave.given('a server that answers with the status {kind}')
@behave.given('a server whose reply has {kind}')
def raw_answers(context, kind):
    context.raw = raw_server.RawServer(kind).serve(context.stack)
    context.server_address = address.Address('127.0.0.1', context.raw.port)


@behave.then('the raw server got {count:d} request')
def raw_requests(context, count):
    assert context.raw.requests == count, context.raw.requests


@behave.then('the raw server has no open connection')
def raw_connections(context):
    context.raw.wait_until_closed()
