"""Steps for leases of room at engines."""

import behave
import gevent

from features.support import placement_simulation
from features.support import replacement_simulation
from kingcupfront_gateway import json_calls

SEED = 10
# As the configuration of the test's site says.
MEMORY_TOKENS = 30000
# What a caller waits at most where time does not matter.
LONG_SECONDS = 30


@behave.when(
    '{instances:d} instances place generations on {engines:d} engines for '
    '{seconds:d} seconds {how}'
)
def place(context, instances, engines, seconds, how):
    model = placement_simulation.PlacementSimulation(
        instances, engines, has_leases=how == 'with leases', seed=SEED
    )
    context.counts = model.play(seconds)


@behave.then('{part} of them are sent to an engine without room')
def without_room(context, part):
    is_some = context.counts['sent without room'] > 0
    assert is_some == (part == 'some'), context.counts


@behave.then('at most {part:f} of them find no place at once')
def no_place(context, part):
    share = context.counts['without a place'] / context.counts['all']
    assert share <= part, context.counts


@behave.when(
    '{instances:d} instances place generations for {seconds:d} seconds while '
    '4 of {engines:d} engines are replaced again and again'
)
def place_on_new(context, instances, engines, seconds):
    context.delays_by_turns = {
        has_turns: replacement_simulation.ReplacementSimulation(
            instances, engines, has_turns=has_turns, seed=SEED
        ).play(seconds)
        for has_turns in (False, True)
    }


@behave.then('with turns to read prompts first events come earlier')
def come_earlier(context):
    without = context.delays_by_turns[False]
    with_turns = context.delays_by_turns[True]
    assert len(with_turns) >= len(without)
    for row in context.table:
        part, most = float(row[0]), float(row[1])
        before = without[int(len(without) * part)]
        after = with_turns[int(len(with_turns) * part)]
        assert after <= most * before, (part, before, after)


@behave.given('engine "{name}" takes {seconds:f} seconds to read a prompt')
def read_slowly(context, name, seconds):
    engine = context.site.targets[name]
    engine.prefill = seconds
    engine.memory = MEMORY_TOKENS


@behave.given(
    'route "{route}" may take {seconds:d} seconds to its first event'
)
def allow(context, route, seconds):
    context.site.routes[route] |= {
        'target_latency_ms': seconds * 1000,
        'timeout_ms': LONG_SECONDS * 1000,
    }


@behave.when('{count:d} callers stream on route "{route}" at once')
def stream_at_once(context, count, route):
    tasks = [
        gevent.spawn(context.site.ask, route, deadline_ms=LONG_SECONDS * 1000)
        for _ in range(count)
    ]
    context.answers = [task.get() for task in tasks]


@behave.then('engine "{name}" read at most {count:d} prompts at once')
def read_at_once(context, name, count):
    assert context.site.targets[name].most_reading <= count


@behave.then('engine "{name}" keeps nothing reserved')
def keeps_nothing(context, name):
    engine = context.site.targets[name]
    context.site.wait_until(lambda: not engine.held_by_lease)


@behave.given('engines "{names}" refuse leases')
def refuse(context, names):
    for name in names.split(','):
        context.site.targets[name].is_full = True


@behave.when('after {seconds:f} seconds engine "{name}" gives leases again')
def give(context, seconds, name):
    gevent.sleep(seconds)
    context.site.targets[name].is_full = False


@behave.then('engine "{name}" ran it with its own lease')
def ran_with_lease(context, name):
    engine = context.site.targets[name]
    assert context.attempt in engine.runs, engine.runs
    leases = [seen.get('kingcupfront-retention', '') for seen in engine.seen]
    assert any(lease.startswith(f'lease-{name}-') for lease in leases), leases


@behave.given('engines "{names}" take {seconds:f} seconds to give a lease')
def give_late(context, names, seconds):
    for name in names.split(','):
        context.site.targets[name].lease_delay = seconds


@behave.when('it leaves while an engine is asked for a lease')
def leave_while_asked(context):
    engines = context.site.targets.values()
    context.site.wait_until(lambda: any(e.leases for e in engines))
    context.line.close()


@behave.when('a caller with {seconds:f} seconds left asks on route "{route}"')
def ask_with_time(context, seconds, route):
    context.attempt = context.site.new_id()
    context.answer = context.site.ask(
        route, attempt=context.attempt, deadline_ms=int(seconds * 1000)
    )


@behave.then('no engine runs it in the second after')
def runs_nowhere(context):
    gevent.sleep(1.0)
    for engine in context.site.targets.values():
        assert context.attempt not in engine.runs, engine.id


@behave.when('a lease is freed at target "{name}"')
def free(context, name):
    gateway = context.site.gateway
    target = gateway.targets.by_id[name].target
    calls = json_calls.PooledJsonConnection(gateway, target)
    gateway.platform.release(calls, 'lease-e1-1')


@behave.then('target "{name}" has answered that call')
def answered(context, name):
    assert [f['method'] for f in context.site.targets[name].seen] == ['DELETE']
