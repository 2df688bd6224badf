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
        placed = context.dispatcher.submit(_request(number), context.now)
    except errors.OverloadedError:
        return False
    return placed.target is not None


def _request(number, prefix=()):
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
    'a headroom policy of {entries:d} entries with {count:d} targets'
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


@behave.when('target {index:d} reports to the headroom policy: {name}')
def observe_report(context, index, name):
    report = target.LoadReport(7, context.now, **REPORTS[name])
    context.dispatcher.observe_report(f't{index}', report)


@behave.when(
    '{seconds:d} seconds pass without a report to the headroom policy'
)
def advance_clock(context, seconds):
    context.now += seconds


@behave.when(
    'target {index:d} restarts and reports to the headroom policy that it is'
    ' empty'
)
def restart(context, index):
    report = target.LoadReport(1, context.now, **REPORTS['empty'])
    assert context.dispatcher.observe_report(f't{index}', report)


@behave.then(
    'the headroom policy sends {count:d} requests to target {index:d}'
)
def check_target(context, count, index):
    for number in range(count):
        placed = context.dispatcher.submit(_request(number), context.now)
        assert placed.target is not None
        assert placed.target.id == f't{index}', placed


@behave.then('the headroom policy lets a request wait')
def check_waits(context):
    assert context.dispatcher.submit(_request(0), context.now).target is None


@behave.then(
    'the headroom policy sends at most {most:d} of {count:d} requests at once'
)
def check_sent(context, most, count):
    sent = 0
    for number in range(count):
        sent += _is_sent(context, number)
    assert 1 <= sent <= most, sent


@behave.then(
    'the headroom policy sends {count:d} requests with one prefix to one'
    ' target'
)
def check_affinity(context, count):
    ids = set()
    for number in range(count):
        request = _request(number, prefix=(1, 2, 3))
        placed = context.dispatcher.submit(request, context.now)
        ids.add(placed.target.id)
        context.dispatcher.release(placed, context.now)
    assert len(ids) == 1, ids


@behave.then('the headroom policy compares at most {most:d} targets')
def check_compared(context, most):
    tested = context.dispatcher
    usable = tested.target_registry.pool('generate')
    matched_by_id = {f't{i}': 1.0 for i in range(8)}
    policy = tested._policy
    assert isinstance(policy, headroom_policy.HeadroomPolicy)
    found = policy._candidates(_request(0), usable, (), matched_by_id, 't0')
    assert 9 <= len(found) <= most, len(found)


@behave.then(
    'the headroom policy refuses none of {count:d} requests due in'
    ' {seconds:d} seconds'
)
def check_none_refused(context, count, seconds):
    waiting = 0
    for number in range(count):
        request = dataclasses.replace(
            _request(number), deadline=context.now + seconds
        )
        placed = context.dispatcher.submit(request, context.now)
        waiting += not placed.is_decided
    assert waiting > 1, waiting
