"""Steps for leases of room at engines."""

import behave
import gevent

from features.support import crowd

SEED = 10


@behave.when(
    '{instances:d} instances place generations on {engines:d} engines for '
    '{seconds:d} seconds {how}'
)
def place(context, instances, engines, seconds, how):
    model = crowd.Crowd(
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
