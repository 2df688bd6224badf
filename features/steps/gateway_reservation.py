"""Steps for leases of engine capacity."""

import behave
import gevent

from features.support import placement_simulation
from features.support import replacement_simulation
from kingcupfront_gateway import json_calls

SEED = 10
# The KV cache that the configuration of the test site declares.
MEMORY_TOKENS = 30000
# A deadline for requests whose duration does not matter.
LONG_SECONDS = 30


@behave.when(
    '{instances:d} instances place generations on {engines:d} engines for '
    '{seconds:d} seconds {how}'
)
def place(context, instances, engines, seconds, how):
    simulation = placement_simulation.PlacementSimulation(
        instances, engines, has_leases=how == 'with leases', seed=SEED
    )
    context.counts = simulation.simulate(seconds)


@behave.then('{part} of them are sent to a full engine')
def sent_to_full_engine(context, part):
    is_some = context.counts['sent to full engines'] > 0
    assert is_some == (part == 'some'), context.counts


@behave.then('at most {part:f} of them find no engine at the first try')
def not_placed(context, part):
    share = context.counts['not placed'] / context.counts['all']
    assert share <= part, context.counts


@behave.when(
    '{instances:d} instances place generations for {seconds:d} seconds while '
    '4 of {engines:d} engines are replaced repeatedly'
)
def place_on_replaced_engines(context, instances, engines, seconds):
    context.delays_by_prefill_leases = {
        has_prefill_leases: replacement_simulation.ReplacementSimulation(
            instances,
            engines,
            has_prefill_leases=has_prefill_leases,
            seed=SEED,
        ).simulate(seconds)
        for has_prefill_leases in (False, True)
    }


@behave.then('with prefill leases the first events arrive earlier')
def events_arrive_earlier(context):
    without_leases = context.delays_by_prefill_leases[False]
    with_leases = context.delays_by_prefill_leases[True]
    assert len(with_leases) >= len(without_leases)
    for row in context.table:
        part, max_share = float(row[0]), float(row[1])
        before = without_leases[int(len(without_leases) * part)]
        after = with_leases[int(len(with_leases) * part)]
        assert after <= max_share * before, (part, before, after)


@behave.given('engine "{name}" needs {seconds:f} seconds for a prefill')
def set_prefill_time(context, name, seconds):
    engine = context.site.targets[name]
    engine.prefill = seconds
    engine.memory = MEMORY_TOKENS


@behave.given('route "{route}" has a latency objective of {seconds:d} seconds')
def set_latency_objective(context, route, seconds):
    context.site.routes[route] |= {
        'target_latency_ms': seconds * 1000,
        'timeout_ms': LONG_SECONDS * 1000,
    }


@behave.when('{count:d} callers open streams on route "{route}" at once')
def stream_at_once(context, count, route):
    tasks = [
        gevent.spawn(context.site.ask, route, deadline_ms=LONG_SECONDS * 1000)
        for _ in range(count)
    ]
    context.answers = [task.get() for task in tasks]


@behave.then('engine "{name}" ran at most {count:d} prefills at once')
def prefills_at_once(context, name, count):
    assert context.site.targets[name].most_reading <= count


@behave.then('engine "{name}" has no leases left')
def no_leases_left(context, name):
    engine = context.site.targets[name]
    context.site.wait_until(lambda: not engine.held_by_lease)


@behave.given('engines "{names}" refuse leases')
def refuse_leases(context, names):
    for name in names.split(','):
        context.site.targets[name].is_full = True


@behave.when('after {seconds:f} seconds engine "{name}" grants leases again')
def grant_leases_again(context, seconds, name):
    gevent.sleep(seconds)
    context.site.targets[name].is_full = False


@behave.then('engine "{name}" executed it with its own lease')
def ran_with_lease(context, name):
    engine = context.site.targets[name]
    assert context.attempt in engine.runs, engine.runs
    leases = [seen.get('kingcupfront-retention', '') for seen in engine.seen]
    assert any(lease.startswith(f'lease-{name}-') for lease in leases), leases


@behave.given('engines "{names}" take {seconds:f} seconds to grant a lease')
def grant_late(context, names, seconds):
    for name in names.split(','):
        context.site.targets[name].lease_delay = seconds


@behave.when('it disconnects while a lease is requested')
def disconnect_during_lease(context):
    engines = context.site.targets.values()
    context.site.wait_until(lambda: any(e.leases for e in engines))
    context.line.close()


@behave.when(
    'a caller with {seconds:f} seconds left sends a request to route "{route}"'
)
def send_with_deadline(context, seconds, route):
    context.attempt = context.site.new_id()
    context.answer = context.site.ask(
        route, attempt=context.attempt, deadline_ms=int(seconds * 1000)
    )


@behave.then('no engine executes it within a second')
def not_executed(context):
    gevent.sleep(1.0)
    for engine in context.site.targets.values():
        assert context.attempt not in engine.runs, engine.id


@behave.when('a lease is released at target "{name}"')
def release_lease(context, name):
    gateway = context.site.gateway
    target = gateway.targets.by_id[name].target
    calls = json_calls.PooledJsonConnection(gateway, target)
    gateway.platform.release(calls, 'lease-e1-1')


@behave.then('target "{name}" has answered the release')
def release_answered(context, name):
    assert [f['method'] for f in context.site.targets[name].seen] == ['DELETE']
