"""Steps for the memory that buffered replies may take."""

import contextlib
import dataclasses
import pathlib
import re

import behave
import gevent

from features.support import endless_server
from features.support.soak import gateways
from features.support.soak import world
from kingcupfront_gateway import reply_buffers

MEGABYTE = 1000 * 1000
KIBIBYTE = 1024


@behave.given('a gateway process with a sound target')
def gateway_process(context):
    context.site = world.World(context.stack, gateway_count=1, engine_count=1)
    for route in context.site.routes.values():
        route['timeout_ms'] = 20000
    context.process = context.site.gateways[0]


@behave.given(
    'a target that sends {kind} without end to {count:d} requests at once'
)
def endless_target(context, kind, count):
    site = context.site
    port = endless_server.serve_many(context.stack, kind)
    entry = site.live('plain')[0].entry(
        service='endless', address=f'127.0.0.1:{port}', slots=count
    )
    site.store.put('servers/endless', entry)
    site.routes['once']['service'] = 'endless'
    site.publish()
    context.process.start()
    context.process.wait_ready()


def _ask(context, route):
    ip = context.process.ip
    with context.site.connection((ip, gateways.CALLERS_PORT)) as line:
        return context.site.ask(route, line, deadline_ms=20000)


@behave.when('{count:d} callers send a request to that target at once')
def ask_at_once(context, count):
    asked = [gevent.spawn(_ask, context, 'once') for _ in range(count)]
    gevent.joinall(asked)
    context.answers = [task.value for task in asked]


@behave.then('each of these callers gets status {status:d}')
def each_got(context, status):
    found = [answer.status for answer in context.answers]
    assert set(found) == {status}, (found, context.process.tail())


@behave.then('the gateway process has taken less than {megabytes:d} MB')
def peak_memory(context, megabytes):
    assert context.process.is_running, context.process.tail()
    status = pathlib.Path(f'/proc/{context.process.pid}/status').read_text()
    peak = int(re.search(r'VmHWM:\s+(\d+) kB', status)[1]) * KIBIBYTE
    assert peak < megabytes * MEGABYTE, f'{peak / MEGABYTE:.0f} MB'


@behave.then('a request to the sound target is served')
def sound_is_served(context):
    assert _ask(context, 'safe').status == 200


@behave.given('a limit of {count:d} bytes for all replies')
def limit(context, count):
    context.buffers = reply_buffers.ReplyBuffers(count)
    context.cut_off = []
    context.open = contextlib.ExitStack()
    context.stack.callback(context.open.close)
    context.buffers_by_name = {}


@behave.when('replies grow by "{growth}"')
def grow(context, growth):
    for step in growth.split():
        name, size = step[0], int(step[1:])
        if name not in context.buffers_by_name:
            context.buffers_by_name[name] = context.open.enter_context(
                context.buffers.open(lambda n=name: context.cut_off.append(n))
            )
        context.buffers.grow(context.buffers_by_name[name], size)


@behave.when('all replies end')
def all_end(context):
    context.open.close()
    context.buffers_by_name.clear()


@behave.then('the replies "{names}" are cut off')
@behave.then('the replies "" are cut off')
def cut_off(context, names=''):
    assert ','.join(context.cut_off) == names, context.cut_off


@behave.then('the replies hold {count:d} bytes together')
def hold(context, count):
    assert context.buffers.total == count, context.buffers.total


@behave.when('a reload states {megabytes:d} MB of memory')
def reload_memory(context, megabytes):
    gateway = context.site.gateway
    gateway.apply_settings(
        dataclasses.replace(
            gateway.settings, memory_bytes=megabytes * MEGABYTE
        )
    )


@behave.then('all replies may hold {megabytes:g} MB')
def reply_limit(context, megabytes):
    found = context.site.gateway.reply_buffers.limit
    assert found == megabytes * MEGABYTE, found
