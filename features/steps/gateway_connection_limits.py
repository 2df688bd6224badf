"""Steps for callers beyond the connections that settings allow."""

import dataclasses

import behave
import gevent

from features.support import caller_lines
from kingcupfront_gateway import process

# Callers' connections may take one half of the descriptors.
DESCRIPTORS_PER_CONNECTION = 2
PAUSE_SECONDS = 0.05


@behave.given('{count:d} callers whose requests wait for their targets')
def waiting_callers(context, count):
    scene = context.scene
    context.waiting = [scene.open() for _ in range(count)]
    for caller in context.waiting:
        caller.send(caller_lines.request(context.site, 'held'))
    scene.wait_until(lambda: scene.target('held').waiting == count)


@behave.when('reloaded settings allow {count:d} connections')
def lower_connections(context, count):
    gateway = context.site.gateway
    changed = dataclasses.replace(
        gateway.settings, descriptors=count * DESCRIPTORS_PER_CONNECTION
    )
    gateway.platform.settings = lambda: changed
    process.reload_settings(gateway, is_signalled=True)


@behave.when('a caller connects and sends its request {sending}')
def connect_and_send(context, sending):
    caller = context.caller = context.scene.open()
    data = caller_lines.request(context.site, 'quick')
    if sending == 'a bit later':
        gevent.sleep(PAUSE_SECONDS)
    elif sending == 'in two parts':
        caller.send(data[: len(data) // 2])
        gevent.sleep(PAUSE_SECONDS)
        data = data[len(data) // 2 :]
    caller.try_send(data)


@behave.then('the callers that waited get status {status:d}')
def waited(context, status):
    context.scene.is_released.set()
    found = [caller.read().summary for caller in context.waiting]
    assert set(found) == {str(status)}, found
