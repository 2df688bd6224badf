"""Steps of the failure suite."""

import random

import behave
import gevent

from features.support import callers
from features.support import faults
from features.support import fleet
from features.support import promises

LOAD_SECONDS = 6.0
SETTLE_SECONDS = 1.0


@behave.given(
    '{entries:d} entries, {engines:d} engines and a plain service under load'
)
def start(context, entries, engines):
    context.fleet = fleet.Fleet()
    context.stack.callback(context.fleet.close)
    context.fleet.publish(fleet.simple_objects())
    context.engines, context.plains = context.fleet.launch(entries, engines)


@behave.when('"{first}" and "{second}" strike under load with seed {seed:d}')
def strike(context, first, second, seed):
    rng = random.Random(seed)
    context.name = f'{first} + {second} #{seed}'
    context.callers = callers.Callers(context.fleet.entries, seed)
    load = context.callers.run(LOAD_SECONDS)
    gevent.sleep(SETTLE_SECONDS)
    striking = [
        gevent.spawn(faults.faults.get(name), context, rng)
        for name in (first, second)
    ]
    gevent.joinall(striking, raise_error=True)
    gevent.joinall(load, raise_error=True)


@behave.then('every promise holds by the records of callers and targets')
def check(context):
    tally = promises.Tally(context.name)
    promises.check_streams(tally, context.callers.streams)
    executions = [e for p in context.plains for e in p.executions()]
    promises.check_actions(tally, context.callers.actions, executions)
    context.tally = tally
    revisions = {
        e.name: e.dump()['configuration']['revision']
        for e in context.fleet.entries
    }
    tally.check(
        'configuration everywhere',
        len(set(revisions.values())) == 1,
        str(revisions),
    )
    tally.finish()
