"""Steps for the headroom policy."""

import dataclasses
import random

import behave

from kingcupfront_core import address
from kingcupfront_route import dispatcher
from kingcupfront_route import errors
from kingcupfront_route import headroom_policy
from kingcupfront_route import routing_request
from kingcupfront_route import target

REPORTS = {
    'empty': {'free_blocks': 1000, 'total_blocks': 1000},
    'half full': {'free_blocks': 500, 'total_blocks': 1000, 'running': 25},
    'full': {'free_blocks': 50, 'total_blocks': 1000, 'running': 40},
    'waiting': {
        'free_blocks': 400,
        'total_blocks': 1000,
        'running': 20,
        'waiting': 12,
    },
    'absurd': {'free_blocks': 9000, 'total_blocks': 1000},
    'leaving': {'free_blocks': 1000, 'total_blocks': 1000, 'leaving': True},
}


def _is_sent(context, number):
    try:
        item = context.dispatcher.submit(_job(number), context.now)
    except errors.OverloadedError:
        return False
    return item.target is not None


def _job(number, prefix=()):
    return routing_request.RoutingRequest(
        str(number),
        'a',
        'generate',
        'p',
        prompt_tokens=160,
        deadline=1e9,
        prefix=prefix,
    )


@behave.given(
    'a router policy with {entries:d} entries before {count:d} targets'
)
def given_policy(context, entries, count):
    context.now = 100.0
    context.dispatcher = dispatcher.Dispatcher(
        rng=random.Random(1), entries=entries
    )
    context.dispatcher.target_registry.set_targets(
        [
            target.Target(
                f't{i}',
                address.Address('127.0.0.1', i + 1),
                'generate',
                'p',
            )
            for i in range(count)
        ]
    )


@behave.when('the router policy hears from target {index:d}: {name}')
def hears(context, index, name):
    report = target.LoadReport(7, context.now, **REPORTS[name])
    context.dispatcher.observe_report(f't{index}', report)


@behave.when('the router policy hears nothing for {seconds:d} seconds')
def silence(context, seconds):
    context.now += seconds


@behave.when(
    'target {index:d} of the router policy restarts and reports to be empty'
)
def restarts(context, index):
    report = target.LoadReport(1, context.now, **REPORTS['empty'])
    assert context.dispatcher.observe_report(f't{index}', report)


@behave.then('the router policy sends {count:d} jobs to target {index:d}')
def sends(context, count, index):
    for number in range(count):
        item = context.dispatcher.submit(_job(number), context.now)
        assert item.target is not None
        assert item.target.id == f't{index}', item


@behave.then('the router policy lets a job wait')
def waits(context):
    assert context.dispatcher.submit(_job(0), context.now).target is None


@behave.then(
    'the router policy sends at most {most:d} of {count:d} jobs before it'
    ' waits'
)
def sends_at_most(context, most, count):
    sent = 0
    for number in range(count):
        sent += _is_sent(context, number)
    assert 1 <= sent <= most, sent


@behave.then(
    'the router policy sends {count:d} jobs with one prefix to one target'
)
def one_home(context, count):
    ids = set()
    for number in range(count):
        work = _job(number, prefix=(1, 2, 3))
        item = context.dispatcher.submit(work, context.now)
        ids.add(item.target.id)
        context.dispatcher.release(item, context.now)
    assert len(ids) == 1, ids


@behave.then('the router policy compares at most {most:d} targets')
def compares(context, most):
    made = context.dispatcher
    usable = made.target_registry.pool('generate')
    held = {f't{i}': 1.0 for i in range(8)}
    policy = made._policy
    assert isinstance(policy, headroom_policy.HeadroomPolicy)
    found = policy._candidates(_job(0), usable, (), held, 't0')
    assert 9 <= len(found) <= most, len(found)


@behave.then(
    'the router policy refuses none of {count:d} jobs due in {seconds:d}'
    ' seconds'
)
def refuses_none(context, count, seconds):
    waiting = 0
    for number in range(count):
        work = dataclasses.replace(
            _job(number), deadline=context.now + seconds
        )
        item = context.dispatcher.submit(work, context.now)
        waiting += not item.is_decided
    assert waiting > 1, waiting
