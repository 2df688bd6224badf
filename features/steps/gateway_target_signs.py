"""Steps for targets that leave or ask for silence in their replies."""

import time

import behave
import gevent
from gevent import event

from features.support import platform_site
from kingcupfront_gateway import process
from kingcupfront_gateway import target_signs

LEAVES = {'Server-Leaving': '1'}


def _targets(context):
    return context.site.targets.values()


def _believed(context, name):
    return context.site.gateway.targets.by_id[name]


def _route(context):
    is_engine = context.site.targets['a'].service == 'engine'
    return 'stream' if is_engine else 'safe'


def _set_signs(context, target, signs, reply):
    if reply in ('refusal', 'refusal of a lease'):
        target.refusal_signs = signs
        if reply == 'refusal':
            target.faults = ['shed']
        else:
            target.is_full = True
    else:
        target.signs = signs
        target.faults = ['failure'] if reply == 'own failure' else []


@behave.when('target "{name}" says that it leaves in its {reply}')
def says_leaving(context, name, reply):
    _set_signs(context, context.site.targets[name], LEAVES, reply)


@behave.when(
    'target "{name}" asks for {value} seconds of silence in its refusal'
)
def asks_silence(context, name, value):
    values = value.split(' and ')
    signs = {'Retry-After': values[0]}
    if len(values) > 1:
        signs['RETRY-AFTER'] = values[1]
    _set_signs(context, context.site.targets[name], signs, 'refusal')


@behave.when(
    'all targets ask for {value} seconds of silence in their refusals'
)
def all_ask(context, value):
    for name in context.site.targets:
        asks_silence(context, name, value)


@behave.when('the gateway has had such a reply from target "{name}"')
def has_had(context, name):
    target = context.site.targets[name]
    for _ in range(60):
        if target.replied_signs:
            break
        context.site.ask(_route(context))
    assert target.replied_signs, 'the target got no request'
    target.refusal_signs = {} if target.refusal_signs else target.refusal_signs
    target.is_full = False
    target.faults = []


@behave.when('the gateway has had such a reply from each target')
def has_had_each(context):
    for name in context.site.targets:
        has_had(context, name)


@behave.when('nothing else happens')
def nothing(context):
    pass


@behave.when('target "{name}" is listed as ready anew')
def listed_anew(context, name):
    target = context.site.targets[name]
    context.site.store.put(f'servers/{name}', target.entry(sequence=9))
    gevent.sleep(0.3)


@behave.when('target "{name}" holds a request to route "{route}" back')
def holds_back(context, name, route):
    target = context.site.targets[name]
    target.released = event.Event()
    context.asked = gevent.spawn(context.site.ask, route)
    context.site.wait_until(lambda: target.waiting)


@behave.when('target "{name}" of the same kind is listed')
def listed_alike(context, name):
    site = context.site
    is_engine = site.targets['a'].service == 'engine'
    (site.add_engine if is_engine else site.add_plain)(name)
    site.wait_until(lambda: name in site.gateway.targets.by_id)


@behave.when('target "{name}" answers what it held back')
def answers_held(context, name):
    target = context.site.targets[name]
    target.released.set()
    context.asked.get(timeout=platform_site.WAIT_SECONDS)
    assert target.replied_signs, 'the reply bore no sign'
    target.refusal_signs, target.faults = {}, []


@behave.when('target "{name}" lapses and is listed again')
def lapses(context, name):
    known = context.site.gateway.targets
    known._remove(name)
    target = context.site.targets[name]
    context.site.store.put(f'servers/{name}', target.entry(sequence=9))
    context.site.wait_until(lambda: name in known.by_id)


@behave.when('the settings are reloaded')
def reloaded(context):
    process.reload_settings(context.site.gateway, is_signalled=True)


@behave.when('target "{name}" asks for {value} seconds')
def asks_shorter(context, name, value):
    gateway = context.site.gateway
    state = _believed(context, name)
    fields = [(b'Retry-After', value.encode())]
    reply = gateway.platform.read_reply(503, fields)
    target_signs.apply(gateway, state, reply, 'a late one')


@behave.when('target "{name}" starts again at its address and says nothing')
def starts_again(context, name):
    site = context.site
    target = site.targets.pop(name)
    target.signs = target.refusal_signs = {}
    site.store.delete(f'servers/{name}')
    target.id = f'{name}-again'
    site._list(target)
    known = site.gateway.targets.by_id
    site.wait_until(lambda: target.id in known)


@behave.when('callers send {count:d} requests to route "{route}"')
def send_requests(context, count, route):
    for target in _targets(context):
        target.arrived_at = []
    context.answers = [context.site.ask(route) for _ in range(count)]


@behave.when(
    'callers send requests to route "{route}" for {seconds:d} seconds'
)
def send_for(context, route, seconds):
    # Those that crossed the reply are no fault.
    gevent.sleep(0.1)
    for target in _targets(context):
        target.arrived_at = []
    context.answers = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        context.answers.append(context.site.ask(route))
        gevent.sleep(0.02)


@behave.then('target "{name}" got none of these requests')
@behave.then('target "{name}" got none of these requests or calls')
def got_none(context, name):
    assert not context.site.targets[name].arrived_at


@behave.then('target "{name}" may get some of these requests or calls')
def got_some(context, name):
    # By its failure it is a later choice, but it is one.
    accepts_work(context, name)


@behave.when(
    'after {seconds:f} seconds a reply of its engine says that it leaves'
)
def engine_says(context, seconds):
    site = context.site

    def working():
        return [e for e in _targets(context) if context.attempt in e.made]

    site.wait_until(working)
    engine = working()[0]
    gevent.sleep(seconds)
    engine.signs = LEAVES
    # Replies to other requests and calls carry the sign.
    state = _believed(context, engine.id)
    site.wait_until(lambda: _ask_and_look(site, state))


def _ask_and_look(site, state):
    # Its answer takes as long as the stream that is to be moved.
    gevent.spawn(site.ask, 'stream', tokens='10,4')
    gevent.sleep(0.1)
    return state.is_leaving


@behave.then('the gateway believes that target "{name}" accepts work')
def accepts_work(context, name):
    state = _believed(context, name)
    now = context.site.gateway.clock.monotonic()
    assert state.accepts_work(now), vars(state)
    assert not state.silent_until, state.silent_until


@behave.then('it was answered within {seconds:f} seconds')
def answered_within(context, seconds):
    start = time.monotonic()
    context.site.ask(_route(context))
    assert time.monotonic() - start < seconds


@behave.then('its Retry-After is missing')
def no_retry_after(context):
    assert 'retry-after' not in context.answer.headers, context.answer


@behave.then('its Retry-After is from {low:d} to {high:d}')
def retry_after_between(context, low, high):
    assert low <= float(context.answer.headers['retry-after']) <= high


@behave.when('the silence of {seconds:f} seconds has passed')
def pass_seconds(context, seconds):
    gevent.sleep(seconds)


@behave.when('target "{name}" takes {seconds:f} seconds for each request')
def slow_target(context, name, seconds):
    context.site.targets[name].seconds = seconds


@behave.when('{count:d} callers send requests to route "{route}" at once')
def send_at_once(context, count, route):
    tasks = [gevent.spawn(context.site.ask, route) for _ in range(count)]
    gevent.joinall(tasks)
    context.answers = [task.value for task in tasks]


@behave.then(
    'target "{name}" had at most {count:d} request at a time until one '
    'succeeded'
)
def few_at_first(context, name, count):
    assert context.site.targets[name].most_before_success <= count
    statuses = [answer.status for answer in context.answers]
    assert 200 in statuses, statuses
