"""Steps for targets that have just started."""

import time

import behave
import gevent

from features.support import cold_simulation
from features.support import log_capture
from features.support import platform_site
from kingcupfront_decisions import cold_targets

COUNTS = (1, 2, 3, 7, 20, 40)
SEEDS = 3
TARGETS = 4
BOUND = cold_targets.Bound(2, 1.5, 5)
COLD_MS = 60000
SHORT_COLD_MS = 2500


@behave.when(
    '1 to 40 gateways send all they may to targets that handle {rate:f} a '
    'second while {kind}'
)
@behave.when(
    '1 to 40 gateways send all they may to targets that handle {rate:d} a '
    'second while {kind}'
)
def replay(context, rate, kind):
    context.replays = [
        cold_simulation.Replay(count, rate, seed, TARGETS)
        for count in COUNTS
        for seed in range(SEEDS)
    ]
    for one in context.replays:
        one.run(kind)


@behave.then('no target gets more than {limit:d} requests in any second')
def keeps_limit(context, limit):
    most = {
        f'{len(one.names)} gateways': one.most_in_a_second()
        for one in context.replays
        if one.most_in_a_second() > limit
    }
    assert not most, most


@behave.then('each target gets at least {percent:d} % of what it can handle')
def is_used(context, percent):
    for one in context.replays:
        used = one.fraction_used()
        assert used * 100 >= percent, (len(one.names), used)


@behave.given(
    'a gateway that started at second 0 and has {contact} with others'
)
def started_gateway(context, contact):
    context.decisions = cold_targets.ColdTargets('a', 0.0)
    if contact == 'contact':
        context.decisions.record_contact()


@behave.then('at second {second:f} it sends {what} to a cold target')
def sends(context, second, what):
    sent = context.decisions.acquire('t', BOUND, second)
    assert sent == (what == 'one')


@behave.given(
    'two gateways of which one has not been heard of for {seconds:d} seconds'
)
def silent_gateway(context, seconds):
    context.decisions = cold_targets.ColdTargets('a', 0.0)
    context.decisions.record_gateways(['a', 'b'], 100.0)
    context.now = 100.0 + seconds
    context.decisions.record_gateways(['a'], context.now)


@behave.then('the other owns {which} slots of {count:d} cold targets')
def owns_slots(context, which, count):
    sent = sum(
        context.decisions.acquire(f't{number}', BOUND, context.now)
        for number in range(count)
        for _ in range(BOUND.slots())
    )
    every = count * BOUND.slots()
    assert sent == every if which == 'all' else 0 < sent < every, sent


@behave.when(
    'a cold target handles {rate:g} a second with overrun {overrun:g} and '
    'slack {slack:g}'
)
def bound_of(context, rate, overrun, slack):
    context.bound = cold_targets.Bound(rate, overrun, slack)


@behave.then('it has {slots:d} slots')
def has_slots(context, slots):
    assert context.bound.slots() == slots, context.bound.slots()


def _new_site(context, seconds, rate, service='plain'):
    site = context.site = platform_site.Site(context.stack)
    site.services[service] |= {'warmup_s': seconds, 'warmup_per_s': rate}
    add = site.add_plain if service == 'plain' else site.add_engine
    context.target = add('cold')


@behave.given(
    'a site with a plain target that can handle {rate:d} requests a second '
    'while it is cold'
)
def plain_site(context, rate):
    _new_site(context, 60, rate)


@behave.given(
    'a site with a plain target with a warm-up of {seconds:d} seconds and a '
    'rate of {rate:d}'
)
def unbounded_site(context, seconds, rate):
    _new_site(context, seconds, rate)


@behave.given(
    'a site with an engine that can handle {rate:d} requests a second while '
    'it is cold'
)
def engine_site(context, rate):
    _new_site(context, 60, rate, 'engine')
    # A generation waits for an engine for a part of this time.
    context.site.routes['stream'] |= {
        'target_latency_ms': 5000,
        'timeout_ms': 20000,
    }
    _put_entry(context, COLD_MS)


@behave.given('the target is in data centre "{zone}"')
def target_zone(context, zone):
    context.target.zone = zone
    _put_entry(context, 0)


@behave.given('the gateway has run for {seconds:d} seconds')
def has_run(context, seconds):
    gevent.sleep(seconds + 0.3)


def _put_entry(context, milliseconds):
    context.site.store.put(
        f'servers/{context.target.id}',
        context.target.entry(warmup_left_ms=milliseconds),
    )


def _wait_until_cold(context, seconds=1.0):
    state = context.site.gateway.targets.by_id['cold']
    context.site.wait_until(
        lambda: (
            state.signs.cold_until
            > time.clock_gettime(time.CLOCK_BOOTTIME) + seconds
        )
    )


@behave.when('the target becomes cold by {sign}')
def becomes_cold(context, sign):
    site = context.site
    if sign == 'its response':
        context.target.signs = {'Kingcupfront-Warmup-Ms': str(COLD_MS)}
        site.ask('once')
    elif sign == 'the end of an evacuation':
        site.store.put('op/evacuate/zone-a', {})
        site.wait_until(lambda: 'zone-a' in site.gateway.evacuations)
        site.store.delete('op/evacuate/zone-a')
    elif sign == 'its entry, once more':
        _put_entry(context, 200)
        _wait_until_cold(context, 0)
        gevent.sleep(0.5)
        _put_entry(context, COLD_MS)
    elif sign == 'the same entry, written again':
        _put_entry(context, SHORT_COLD_MS)
        _wait_until_cold(context)
        gevent.sleep(SHORT_COLD_MS / 1000)
        _put_entry(context, SHORT_COLD_MS)
    else:
        _put_entry(context, COLD_MS)
    _wait_until_cold(context)
    context.runs_before = len(context.target.runs)


@behave.when('the target is cold for 1 second and that time has passed')
def was_cold(context):
    _put_entry(context, 1000)
    _wait_until_cold(context, 0)
    gevent.sleep(1.3)


@behave.when('the target names "{value}" as the time for which it is cold')
def odd_time(context, value):
    context.target.signs = {'Kingcupfront-Warmup-Ms': value}
    context.site.ask('once')
    context.runs_before = len(context.target.runs)


@behave.when('{count:d} callers send requests to route "{route}" together')
def send_at_once(context, count, route):
    tasks = [
        gevent.spawn(context.site.ask, route, deadline_ms=20000)
        for _ in range(count)
    ]
    gevent.joinall(tasks)
    context.answers = [task.value for task in tasks]


@behave.then('the cold target executed {least:d} to {most:d} requests')
def executed_between(context, least, most):
    runs = len(context.target.runs) - getattr(context, 'runs_before', 0)
    assert least <= runs <= most, runs
    served = sum(answer.status == 200 for answer in context.answers)
    assert served == runs, (served, runs)


@behave.then('the other callers got status 503 with a Retry-After header')
def others_refused(context):
    for answer in context.answers:
        if answer.status != 200:
            assert answer.status == 503, answer
            assert 'retry-after' in answer.headers, answer


@behave.then('the odd time is logged at most once')
def odd_time_logged(context):
    assert len(log_capture.events(context.records, 'warmup_ignored')) == 1


@behave.then(
    'the state dump says that the target is cold for {least:d} to {most:d} '
    'seconds'
)
def dump_says_cold(context, least, most):
    found = platform_site.dump(context.site)['targets']['cold']
    assert least <= found['cold_seconds'] <= most, found


@behave.when('{count:d} callers open streams on route "{route}" together')
def open_streams(context, count, route):
    starts = context.starts = []
    made = context.target.made

    def watch():
        known = set()
        while True:
            new = set(made) - known
            starts.extend(time.monotonic() for _ in new)
            known |= new
            gevent.sleep(0.01)

    watcher = gevent.spawn(watch)
    context.stack.callback(watcher.kill)
    send_at_once(context, count, route)


@behave.then('all streams are complete')
def streams_complete(context):
    for answer in context.answers:
        assert answer.status == 200, answer
        assert answer.is_whole, answer


@behave.then('the engine got at most {most:d} generations in any second')
def engine_bounded(context, most):
    starts = context.starts
    assert len(starts) == len(context.answers), starts
    for start in starts:
        assert sum(start <= at <= start + 1 for at in starts) <= most
    assert max(starts) - min(starts) > 1, starts
