"""Steps that draw histories of retries, deaths and cuts."""

import collections
from unittest import mock

import behave
import hypothesis
from hypothesis import strategies

from features.support import histories
from kingcupfront_entry import claims
from kingcupfront_entry import forwarding

MAX_ACTIONS = 30
ISSUE = {'permits': 'permit', "callers' keys": 'own_key'}

# All entries are replaced after the key was used.
REPLACED = [('send', 0, 0), ('step', 60), ('kill_all',), ('send', 1, 0)]

entry = strategies.integers(0, histories.ENTRIES - 1)
key = strategies.integers(0, 2)
sends = strategies.tuples(strategies.just('send'), entry, key)
others = strategies.one_of(
    strategies.tuples(strategies.just('kill'), entry),
    strategies.tuples(strategies.just('kill_all')),
    strategies.tuples(strategies.just('cut'), entry, entry),
    strategies.tuples(
        strategies.just('advance'),
        strategies.sampled_from([0.5, 6.0, 40.0, 700.0]),
    ),
    strategies.tuples(
        strategies.just('step'), strategies.sampled_from([1, 2, 5, 60])
    ),
)


def histories_of(issue):
    issues = strategies.tuples(strategies.just(issue), entry)
    action = strategies.one_of(sends, sends, sends, issues, others, others)
    return strategies.lists(action, min_size=4, max_size=MAX_ACTIONS)


@behave.when('{count:d} drawn histories of {kind} are played on 3 entries')
def play(context, count, kind):
    seen = collections.Counter()
    issue = ISSUE[kind]

    @hypothesis.settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.example(REPLACED)
    @hypothesis.given(histories_of(issue))
    def run(actions):
        world = histories.World()
        getattr(world, issue)(0)
        for name, *arguments in actions:
            getattr(world, name)(*arguments)
        world.finish()
        seen.update(world.check())

    with (
        mock.patch.object(forwarding, 'FIRST_BACKOFF_SECONDS', 0),
        mock.patch.object(claims, 'RETRY_SECONDS', 0),
    ):
        run()
    context.seen = seen


@behave.then('no key ran twice and no outcome was untrue')
def counted(context):
    print(dict(context.seen))
    assert context.seen['done'], context.seen
