"""Steps for a gateway that is told to stop while callers send requests."""

import dataclasses

import behave
import gevent

from features.support import platform_site
from kingcupfront_gateway import draining
from kingcupfront_gateway import errors


@behave.given('an engine "{name}" beside them')
def engine_beside(context, name):
    context.site.add_engine(name)


@behave.given('the engines have no room')
def no_room(context):
    context.site.targets['e1'].is_full = True


@behave.given('a gateway whose grace is {seconds:d} seconds runs')
def gateway_with_grace(context, seconds):
    site = context.site
    for target in site.targets.values():
        # Engines spend the time on the prompt.
        target.prefill = target.seconds
    for route in site.routes.values():
        route['timeout_ms'] = 60000
    site.start(drain_grace=float(seconds))
    site.wait_until(
        lambda: set(site.targets) <= set(site.gateway.targets.by_id)
    )


@behave.when('a caller opens a connection and keeps it')
@behave.given('a caller that keeps its connection open')
def open_connection(context):
    site = context.site
    context.line = context.stack.enter_context(site.connection())
    context.line.connect()


@behave.when('the gateway is told to stop')
def told_to_stop(context):
    context.draining = gevent.spawn(draining.drain, context.site.gateway)
    gevent.sleep(0)


@behave.when('the gateway is told to stop and closes')
def closes(context):
    told_to_stop(context)
    while not context.site.gateway.is_closing:
        gevent.sleep(0.01)


@behave.when('its response begins right after the decision to end the request')
def begins_meanwhile(context):
    gateway = context.site.gateway
    context.site.wait_until(lambda: context.site.targets['a'].runs)
    (request,) = gateway.active_requests
    request.end_without_response(errors.StoppingError())
    request.connection.response_started = True
    gevent.sleep(0.1)
    request.connection.response_started = False


@behave.when('{seconds:g} seconds pass, after which its engine {leaves}')
def then_leaves(context, seconds, leaves):
    gevent.sleep(seconds)
    for engine in context.site.targets.values():
        if leaves == 'is listed as draining' and engine.made:
            context.site.drain(engine.id)


@behave.then('the generation stayed at its engine')
def stayed(context):
    engines = context.site.targets.values()
    assert sum(engine.runs.count(context.attempt) for engine in engines) == 1
    stops = [call for e in engines for call in e.moves if call.get('last')]
    assert not stops, stops


@behave.when('its settings file then names a grace of {seconds:d} seconds')
def other_file(context, seconds):
    gateway = context.site.gateway
    gateway.platform = platform_site.Dialect(
        dataclasses.replace(gateway.settings, drain_grace=float(seconds))
    )


@behave.then(
    'no more than {seconds:d} seconds have passed since it was told to stop'
)
def within(context, seconds):
    gateway = context.site.gateway
    elapsed = gateway.clock.monotonic() - gateway.shutdown.since
    assert elapsed < seconds, elapsed


@behave.when('its settings then name a grace of {seconds:d} seconds')
def other_grace(context, seconds):
    gateway = context.site.gateway
    settings = dataclasses.replace(
        gateway.settings, drain_grace=float(seconds)
    )
    gateway.apply_settings(settings)


@behave.when(
    '{after:f} seconds later the caller sends a request to route "{route}" '
    'that may take {deadline:g} seconds'
)
def send_late(context, after, route, deadline):
    gevent.sleep(after)
    context.attempt = context.site.new_id()
    context.site.send(
        context.line,
        route,
        attempt=context.attempt,
        deadline_ms=int(deadline * 1000),
    )


@behave.then('the caller gets status {status:d} before the gateway ends')
def answered_in_time(context, status):
    answer = gevent.spawn(platform_site.read, context.line)
    gevent.wait([answer, context.draining], count=1)
    gevent.sleep(0.05)
    assert answer.ready(), 'the gateway ended without a final response'
    assert answer.value.status == status, answer.value
    assert answer.value.is_whole
    assert not [
        request
        for request in context.site.gateway.active_requests
        if context.draining.ready()
    ]


@behave.then('the caller gets status {status:d}')
def gets_status(context, status):
    answer = platform_site.read(context.line)
    assert answer.status == status, answer
