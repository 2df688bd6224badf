"""Steps for settings that change while a gateway starts or runs."""

import dataclasses
import signal

import behave
import gevent

from features.support import platform_site
from features.support import relay
from features.support.soak import world
from kingcupfront_core import errors
from kingcupfront_gateway import process

NEW_RATIO = 0.1
NEW_REVOCATION = 17.0
# By then the interpreter runs the program and loads libraries.
INTERPRETER_START_SECONDS = 0.15


def _new_gateway(context):
    context.site = world.World(context.stack, gateway_count=1, engine_count=1)
    return context.site.gateways[0]


@behave.given(
    'a gateway process that receives SIGHUP repeatedly while it starts'
)
def signalled_while_starting(context):
    gateway = _new_gateway(context)
    gateway.start()
    gevent.sleep(INTERPRETER_START_SECONDS)
    for _ in range(20):
        gateway.signal(signal.SIGHUP)
        gevent.sleep(0.05)


@behave.given('a gateway process whose settings file is empty')
def empty_settings(context):
    gateway = _new_gateway(context)
    gateway.settings_path.write_text('')
    gateway.start()


@behave.when('the settings file is written after the process has refused it')
def write_settings(context):
    gateway = context.site.gateways[0]
    while gateway.is_running and 'settings_refused' not in gateway.tail():
        gevent.sleep(0.05)
    gateway.write_settings()


@behave.then(
    'the gateway process exits with an error that names its settings file'
)
def exits(context):
    gateway = context.site.gateways[0]
    while gateway.is_running:
        gevent.sleep(0.05)
    assert gateway.popen.returncode == 1, gateway.popen.returncode
    assert f'BadInputError: {gateway.settings_path}' in gateway.tail()


@behave.when('it is told to stop and its settings file is written')
def stop_then_write(context):
    gateway = context.site.gateways[0]
    while gateway.is_running and 'settings_refused' not in gateway.tail():
        gevent.sleep(0.05)
    gateway.is_stopping = True
    gateway.signal(signal.SIGTERM)
    gateway.write_settings()


@behave.then('the gateway process ends without having listened')
def ends_unheard(context):
    gateway = context.site.gateways[0]
    assert gateway.popen.wait(platform_site.WAIT_SECONDS) == 0, gateway.tail()
    log = (gateway.folder / f'{gateway.name}.log').read_text()
    assert 'gateway_stopped' in log, log
    assert 'gateway_started' not in log, log


@behave.then('the gateway process becomes ready')
def becomes_ready(context):
    gateway = context.site.gateways[0]
    gateway.wait_ready()
    assert gateway.is_running, gateway.tail()


@behave.given('a gateway process that watches a store')
def watches_store(context):
    gateway = _new_gateway(context)
    gateway.start()
    gateway.wait_ready()


@behave.when('its settings file names another store')
def name_other(context):
    gateway = context.site.gateways[0]
    context.store_and_pid = gateway.store, gateway.pid
    gateway.store = relay.Relay(context.site.store_address)
    gateway.write_settings()
    context.store_and_pid[0].close()
    context.site.publish()


@behave.then('the same process watches the other store')
def watches_other_store(context):
    gateway, site = context.site.gateways[0], context.site
    site.wait_until(lambda: gateway.state().get('version') == site.version)
    assert gateway.is_running and gateway.pid == context.store_and_pid[1]


@behave.when('the gateway reloads {kind} settings')
def reload(context, kind):
    gateway = context.site.gateway
    context.old_settings = gateway.settings
    context.new_settings = dataclasses.replace(
        gateway.settings, retry_ratio=NEW_RATIO, revocation=NEW_REVOCATION
    )

    def settings():
        if kind != 'changed':
            raise errors.BadInputError('invalid settings of the test')
        return context.new_settings

    gateway.platform.settings = settings
    process.reload_settings(gateway, is_signalled=True)


@behave.then('the gateway {outcome} the reloaded settings')
def applies(context, outcome):
    expected = (
        context.new_settings if outcome == 'applies' else context.old_settings
    )
    gateway = context.site.gateway
    assert gateway.settings == expected
    assert gateway.freshness.revocation_seconds == expected.revocation
