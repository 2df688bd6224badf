"""Steps that run generated histories of retries, process deaths and cuts."""

import collections
from unittest import mock

import behave
import hypothesis
from hypothesis import strategies

from features.support import histories
from kingcupfront_entry import claims
from kingcupfront_entry import forwarding

MAX_ACTIONS = 30
ISSUE_METHODS_BY_KIND = {'permits': 'permit', "callers' keys": 'own_key'}

# A retry after all entries were replaced: none of them knows of the first use.
REPLACED = [('send', 0, 0), ('step', 60), ('kill_all',), ('send', 1, 0)]

entry = strategies.integers(0, histories.ENTRIES - 1)
key = strategies.integers(0, 2)
send_actions = strategies.tuples(strategies.just('send'), entry, key)
fault_actions = strategies.one_of(
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
    issue_actions = strategies.tuples(strategies.just(issue), entry)
    action = strategies.one_of(
        send_actions,
        send_actions,
        send_actions,
        issue_actions,
        fault_actions,
        fault_actions,
    )
    return strategies.lists(action, min_size=4, max_size=MAX_ACTIONS)


@behave.when('{count:d} generated histories of {kind} are run on 3 entries')
def run_histories(context, count, kind):
    seen = collections.Counter()
    issue = ISSUE_METHODS_BY_KIND[kind]

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
    context.outcome_counts = seen


@behave.then(
    'the call of no key ran twice and every reported outcome was true'
)
def check_outcomes(context):
    print(dict(context.outcome_counts))
    assert context.outcome_counts['done'], context.outcome_counts
