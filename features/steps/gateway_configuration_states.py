"""Steps for requests in each state when the configuration changes."""

import json

import behave
import gevent
from gevent import monkey

from features.support import caller_events
from features.support import caller_lines
from features.support import caller_sites
from features.support import caller_states
from features.support import faulty_states
from kingcupfront_gateway import idle_timeouts


@behave.given('callers whose requests are in these states')
def callers_in_states(context):
    scene = caller_sites.start(context)
    for row in context.table:
        scene.bring_into(row['state'])
    gevent.sleep(caller_states.READ_SECONDS)


@behave.when('meanwhile the operator {does}')
def change(context, does):
    caller_events.play(context.site, does)
    _wait_for_version(context)


def _wait_for_version(context):
    context.site.wait_until(lambda: context.version() == context.site.version)


@behave.when('the requests go on')
def go_on(context):
    context.scene.go_on()


@behave.then('each caller gets its answer')
def each_answered(context):
    found = context.scene.read_all()
    expected = {row['state']: row['answer'] for row in context.table}
    wrong = {
        state: (answer, expected[state])
        for state, answer in found.items()
        if answer not in expected[state].split(' or ')
    }
    assert not wrong, f'got and expected: {json.dumps(wrong, indent=1)}'


@behave.then('the gateway counts {count:d} requests as unanswered')
def unanswered(context, count):
    counters = context.dump()['metrics']['counters']
    found = {
        name: count
        for name, count in counters.items()
        if name.startswith('gateway_unanswered_requests')
    }
    assert sum(found.values()) == count, found


@behave.given('a site whose idle time-out is {seconds:f} seconds')
def site_with_timeout(context, seconds):
    caller_sites.start(context, {'idle_timeout_ms': int(seconds * 1000)})
    context.reads_first = False


@behave.given('a caller whose connection has served {what}')
def connection_used(context, what):
    context.caller = caller = context.scene.open()
    context.reads_first = what == 'a stream'
    if what == 'no request':
        gevent.sleep(caller_states.READ_SECONDS)
        return
    route = 'long' if context.reads_first else 'quick'
    caller.send(caller_lines.request(context.site, route))
    if not context.reads_first:
        assert caller.read().summary == '200'


@behave.when('the idle time-out becomes {seconds:d} seconds {when}')
def new_timeout(context, seconds, when):
    context.site.limits['idle_timeout_ms'] = seconds * 1000
    context.site.publish()
    context.site.wait_until(
        lambda: (
            context.site.gateway.configuration.version == context.site.version
        )
    )
    if context.reads_first:
        assert context.caller.read().summary == '200'


@behave.when('a caller connects and has served {what}')
def connection_used_later(context, what):
    connection_used(context, what)


@behave.given(
    'an idle time-out of {first:d} s was replaced at second {first_at:d} and '
    'one of {second:d} s at second {second_at:d}'
)
def replaced_timeouts(context, first, first_at, second, second_at):
    context.idle_timeouts = idle_timeouts.IdleTimeouts()
    context.idle_timeouts.record_replaced(first, first_at)
    context.idle_timeouts.record_replaced(second, second_at)


@behave.when(
    'a connection is idle since second {since:d} under a time-out of '
    '{in_force:d} s'
)
def idle_since(context, since, in_force):
    context.allowed = context.idle_timeouts.allowed(since, in_force)


@behave.then('it may be idle for {allowed:d} s')
def allowed_idle(context, allowed):
    assert context.allowed == allowed, context.allowed


@behave.when('the connection has then been idle for {seconds:f} seconds')
def idles(context, seconds):
    gevent.sleep(seconds)
    context.caller.try_send(caller_lines.request(context.site, 'quick'))


@behave.when(
    'it sends the half of a header after {first:f} seconds and the rest '
    '{second:f} seconds later'
)
def late_header(context, first, second):
    data = caller_lines.request(context.site, 'quick')
    gevent.sleep(first)
    context.caller.send(data[: caller_states.HALF_HEAD_BYTES])
    gevent.sleep(second)
    context.caller.try_send(data[caller_states.HALF_HEAD_BYTES :])


@behave.when(
    'it sends a request after {first:f} seconds and the process is held up '
    'for {second:f} seconds'
)
def held_up(context, first, second):
    gevent.sleep(first)
    context.caller.send(caller_lines.request(context.site, 'quick'))
    monkey.get_original('time', 'sleep')(second)


@behave.when(
    'the process is held up until {seconds:f} seconds and the request comes '
    'before the time-out is acted on'
)
def comes_late(context, seconds):
    data = caller_lines.request(context.site, 'quick')
    # Timers of tasks are acted on before time-outs that are due as well.
    gevent.spawn_later(seconds - 0.25, context.caller.send, data)
    gevent.sleep(seconds - 0.3)
    monkey.get_original('time', 'sleep')(0.3)


@behave.then('a request on it gets status {status:d}')
def gets_status(context, status):
    found = context.caller.read()
    assert found.summary == str(status), found


@behave.when('it sends a header that expects 100 Continue')
def expects_continue(context):
    data = caller_lines.request(context.site, 'quick', 'Expect: 100-continue')
    context.caller.send(data[: -len(caller_lines.BODY)])


@behave.then('the caller gets the last response {status:d}')
def last_response(context, status):
    found = context.caller.read()
    assert found.summary == str(status), found
    assert found.headers.get('connection') == 'close', found


@behave.given('callers whose requests have faulty targets')
def callers_of_faulty(context):
    scene = caller_sites.start(
        context, add_services=faulty_states.add_services
    )
    faulty_states.bring_all(scene)
    gevent.sleep(caller_states.READ_SECONDS)
