"""Steps for settings that change while a gateway runs."""

import dataclasses
import signal

import behave
import gevent

from features.support import relay
from features.support.soak import world
from kingcupfront_core import errors
from kingcupfront_gateway import process

NEW_RATIO = 0.1
NEW_REVOCATION = 17.0
# The interpreter has begun with the program by then, and loads libraries.
STARTED_SECONDS = 0.15


def _new_gateway(context):
    context.site = world.World(context.stack, gateway_count=1, engine_count=1)
    return context.site.gateways[0]


@behave.given('a gateway process that is told of new settings as it starts')
def told_early(context):
    gateway = _new_gateway(context)
    gateway.start()
    gevent.sleep(STARTED_SECONDS)
    for _ in range(20):
        gateway.signal(signal.SIGHUP)
        gevent.sleep(0.05)


@behave.given('a gateway process whose settings file is empty')
def empty_settings(context):
    gateway = _new_gateway(context)
    gateway.settings_path.write_text('')
    gateway.start()


@behave.when('the settings file is written after it was read')
def write_settings(context):
    gateway = context.site.gateways[0]
    while gateway.is_running and 'settings_refused' not in gateway.tail():
        gevent.sleep(0.05)
    gateway.write_settings()


@behave.then('the gateway process ends and names its settings file')
def ends(context):
    gateway = context.site.gateways[0]
    while gateway.is_running:
        gevent.sleep(0.05)
    assert gateway.popen.returncode == 1, gateway.popen.returncode
    assert f'BadInputError: {gateway.settings_path}' in gateway.tail()


@behave.then('the gateway process is soon ready')
def soon_ready(context):
    gateway = context.site.gateways[0]
    gateway.wait_ready()
    assert gateway.is_running, gateway.tail()


@behave.given('a gateway process that follows a store')
def follows(context):
    gateway = _new_gateway(context)
    gateway.start()
    gateway.wait_ready()


@behave.when('its settings file names another store')
def name_other(context):
    gateway = context.site.gateways[0]
    context.first = gateway.store, gateway.pid
    gateway.store = relay.Relay(context.site.store_address)
    gateway.write_settings()
    context.first[0].close()
    context.site.publish()


@behave.then('it follows the other store soon, with the same process')
def follows_other(context):
    gateway, site = context.site.gateways[0], context.site
    site.wait_until(lambda: gateway.state().get('version') == site.version)
    assert gateway.is_running and gateway.pid == context.first[1]


@behave.when('the settings {change} and are read again')
def change(context, change):
    gateway = context.site.gateway
    context.before = gateway.settings
    context.new = dataclasses.replace(
        gateway.settings, retry_ratio=NEW_RATIO, revocation=NEW_REVOCATION
    )

    def settings():
        if change != 'change':
            raise errors.BadInputError('no settings')
        return context.new

    gateway.platform.settings = settings
    process.reload_settings(gateway, is_signalled=True)


@behave.then('the gateway {uses} them')
def used(context, uses):
    expected = context.new if uses == 'uses' else context.before
    gateway = context.site.gateway
    assert gateway.settings == expected
    assert gateway.freshness.revocation_seconds == expected.revocation
