"""Steps for concurrency limits of teams across entries."""

import behave

from kingcupfront_route import limits
from kingcupfront_route import team

NOW = 100.0


@behave.given(
    '{count:d} router limits for a team of at most {limit:d} requests'
)
def given_limits(context, count, limit):
    context.now = NOW
    context.is_partitioned = False
    context.limits = [limits.TeamLimits(count) for _ in range(count)]
    for item in context.limits:
        item.set_teams([team.Team('a', max_concurrent=limit)])


def _exchange_usage(context):
    """Deliver each entry's usage message to all entries on its side."""
    half = len(context.limits) // 2
    usages = [item.usage() for item in context.limits]
    for i, item in enumerate(context.limits):
        for j, usage in enumerate(usages):
            if i != j and not (
                context.is_partitioned and (i < half) != (j < half)
            ):
                item.observe(str(j), usage, context.now)


def _fill(context, items):
    for item in items:
        while item.acquire('a', context.now):
            pass


@behave.when('the router limits exchange usage messages {rounds:d} times')
def exchange(context, rounds):
    for _ in range(rounds):
        for item in context.limits:
            item.allowance('a', context.now)
        _exchange_usage(context)


@behave.when('each of the router limits admits as many requests as it may')
def fill_all(context):
    _fill(context, context.limits)


@behave.when(
    '{busy:d} of the router limits admits as many as it may for {rounds:d}'
    ' rounds'
)
def fill_some(context, busy, rounds):
    for _ in range(rounds):
        _fill(context, context.limits[:busy])
        for item in context.limits:
            item.allowance('a', context.now)
        _exchange_usage(context)


@behave.when('the router limits are partitioned for {seconds:d} seconds')
def partition(context, seconds):
    context.is_partitioned = True
    context.now += seconds
    _exchange_usage(context)


@behave.when(
    'all router limits admit as many as they may for {rounds:d} rounds'
)
def fill_all_repeatedly(context, rounds):
    for _ in range(rounds):
        _fill(context, context.limits)
        _exchange_usage(context)


@behave.when(
    'a peer of the router limits reports {reserved:d} and then a late message'
    ' of {late:d}'
)
def observe_out_of_order(context, reserved, late):
    first = context.limits[0]
    first.observe('1', limits.Usage(5, {'a': reserved}), context.now)
    first.observe('1', limits.Usage(4, {'a': late}), context.now)
    _fill(context, [first])


@behave.then(
    'the router limits have between {low:d} and {high:d} requests in progress'
)
def check_used(context, low, high):
    used = sum(item.used('a') for item in context.limits)
    assert low <= used <= high, used
