"""Steps for requests in each state when a gateway process is signalled."""

import signal

import behave
import gevent

from features.support import caller_events
from features.support import caller_sites
from features.support import caller_states
from features.support import relay

HOLD_UP_SECONDS = 0.5
HANG_UPS = 20
NOTICE_SECONDS = 0.3
BROKEN = {
    'settings that are no TOML': b'node_name = "gateway-1\n[zones',
    'settings that are no text': b'\xff\xfe\x00node',
    'an empty settings file': b'',
    'no settings file': None,
}


@behave.given(
    'a gateway process with callers whose requests are in these states'
)
def process_with_callers(context):
    scene = caller_sites.start_process(context)
    context.pid = context.process.pid
    for row in context.table:
        scene.bring_into(row['state'])
    gevent.sleep(caller_states.READ_SECONDS)


@behave.when('it is told SIGHUP with changed settings')
def changed_settings(context):
    process = context.process
    process.bounds = process.bounds | {
        'revoke_ms': 9000,
        'retry_budget_ratio': 0.1,
    }
    process.write_settings()
    _reload(context, 'settings_reloaded')


@behave.when('it is told SIGHUP with another store')
def another_store(context):
    process = context.process
    old, process.store = process.store, relay.Relay(context.site.store_address)
    context.stack.callback(old.close)
    process.write_settings()
    _reload(context, 'settings_reloaded')
    old.close()
    context.site.publish()
    context.site.wait_until(lambda: context.version() == context.site.version)


@behave.when('it is told SIGHUP with settings that are no {kind}')
def broken_settings(context, kind):
    _break_settings(context, f'settings that are no {kind}')


@behave.when('it is told SIGHUP with an empty settings file')
def empty_settings(context):
    _break_settings(context, 'an empty settings file')


@behave.when('it is told SIGHUP with no settings file')
def no_settings(context):
    _break_settings(context, 'no settings file')


def _break_settings(context, kind):
    path, content = context.process.settings_path, BROKEN[kind]
    if content is None:
        path.unlink()
    else:
        path.write_bytes(content)
    _reload(context, 'settings_refused')


def _reload(context, event):
    caller_sites.hang_up(context.process)
    caller_sites.wait_logged(context.process, event)


@behave.when('it is told SIGHUP twenty times')
def many_signals(context):
    caller_sites.hang_up(context.process, HANG_UPS)
    caller_sites.wait_logged(context.process, 'settings_reloaded')


@behave.when('it is held up during ten versions')
def held_up(context):
    context.process.signal(signal.SIGSTOP)
    try:
        for _ in range(10):
            context.site.publish()
        gevent.sleep(HOLD_UP_SECONDS)
    finally:
        context.process.signal(signal.SIGCONT)
    context.site.wait_until(lambda: context.version() == context.site.version)


@behave.when('it is sent an idle time-out that is no number')
def no_number(context):
    site, before = context.site, context.version()
    site.limits['idle_timeout_ms'] = float('nan')
    site.publish()
    gevent.sleep(NOTICE_SECONDS)
    assert context.version() == before, 'the limit is in force'
    site.limits = dict(caller_states.LIMITS)
    site.publish()
    site.wait_until(lambda: context.version() == site.version)


@behave.when('ten versions come within a second')
def storm(context):
    caller_events.storm(context.site)
    context.site.wait_until(lambda: context.version() == context.site.version)


@behave.then('the gateway process has gone on')
def gone_on(context):
    process = context.process
    assert process.is_running and process.pid == context.pid, process.tail()
    log = (process.folder / f'{process.name}.log').read_text()
    assert 'task_failed' not in log, process.tail()
    assert 'Traceback' not in log, process.tail()
