"""Steps for team limits across entries."""

import behave

from kingcupfront_route import limits
from kingcupfront_route import team

NOW = 100.0


@behave.given(
    '{count:d} router limits for a team of at most {limit:d} requests'
)
def given_limits(context, count, limit):
    context.now = NOW
    context.split = False
    context.limits = [limits.TeamLimits(count) for _ in range(count)]
    for item in context.limits:
        item.set_teams([team.Team('a', max_concurrent=limit)])


def _gossip(context):
    """Let each hear all others that it is not cut off from."""
    half = len(context.limits) // 2
    usages = [item.usage() for item in context.limits]
    for i, item in enumerate(context.limits):
        for j, usage in enumerate(usages):
            if i != j and not (context.split and (i < half) != (j < half)):
                item.observe(str(j), usage, context.now)


def _fill(context, items):
    for item in items:
        while item.acquire('a', context.now):
            pass


@behave.when('the router limits hear one another {rounds:d} times')
def hear(context, rounds):
    for _ in range(rounds):
        for item in context.limits:
            item.allowance('a', context.now)
        _gossip(context)


@behave.when('each of the router limits takes all it may')
def take_all(context):
    _fill(context, context.limits)


@behave.when(
    '{busy:d} of the router limits takes all it may for {rounds:d} rounds'
)
def one_busy(context, busy, rounds):
    for _ in range(rounds):
        _fill(context, context.limits[:busy])
        for item in context.limits:
            item.allowance('a', context.now)
        _gossip(context)


@behave.when('the router limits are split in two for {seconds:d} seconds')
def split(context, seconds):
    context.split = True
    context.now += seconds
    _gossip(context)


@behave.when('all router limits take all they may for {rounds:d} rounds')
def all_busy(context, rounds):
    for _ in range(rounds):
        _fill(context, context.limits)
        _gossip(context)


@behave.when(
    'a router limit hears that its peer holds {held:d} and then older news'
    ' of {old:d}'
)
def older(context, held, old):
    first = context.limits[0]
    first.observe('1', limits.Usage(5, {'a': held}), context.now)
    first.observe('1', limits.Usage(4, {'a': old}), context.now)
    _fill(context, [first])


@behave.then('the router limits hold between {low:d} and {high:d} requests')
def hold(context, low, high):
    held = sum(item.used('a') for item in context.limits)
    assert low <= held <= high, held
