"""Steps for the output tokens a second of a team and for bounds."""

import random

import behave

from kingcupfront_core import address
from kingcupfront_core import clock
from kingcupfront_route import dispatcher
from kingcupfront_route import errors
from kingcupfront_route import overload_limits
from kingcupfront_route import router
from kingcupfront_route import routing_request
from kingcupfront_route import target
from kingcupfront_route import team
from kingcupfront_route import token_rate

OFFERED = 10
TARGET = ('t', address.Address('127.0.0.1', 1), 'generate', 'p')


def _work(number='1'):
    return routing_request.RoutingRequest(number, 'a', 'generate', 'p')


@behave.given(
    'a router token rate of {rate:g} a second over {entries:d} entries'
)
def given_rate(context, rate, entries):
    context.now = 100.0
    context.rates = token_rate.TokenRateLimits(entries)
    publish(context, rate)


@behave.when('the router token rate of {rate:g} a second is published again')
def publish(context, rate):
    context.rates.set_teams([team.Team('a', tokens_per_second=rate)])


@behave.when('{count:d} tokens of the router\'s team arrive')
def spend(context, count):
    context.rates.consume('a', count, context.now)


@behave.when('{seconds:g} seconds of the router\'s token rate pass')
def wait(context, seconds):
    context.now += seconds


@behave.then('the router\'s team must wait {seconds:g} seconds')
def check(context, seconds):
    got = context.rates.wait_seconds('a', context.now)
    assert abs(got - seconds) < 1e-6, got


@behave.given('a router whose team may have {rate:g} tokens a second')
def given_router(context, rate):
    context.router = router.Router(
        time=clock.ManualClock(), rng=random.Random(1)
    )
    context.router.set_targets([target.Target(*TARGET)])
    context.router.set_teams([team.Team('a', tokens_per_second=rate)])


@behave.when('the router\'s team gets {count:d} tokens on one request')
def get_tokens(context, count):
    with context.router.place(_work()) as item:
        item.add_tokens(count)


@behave.then('the router refuses its next request for about 1 second')
def refuses(context):
    try:
        with context.router.place(_work('2')):
            raise AssertionError('the request was placed')
    except errors.TeamLimitError as error:
        assert 1 <= error.retry_after < 1.2, error.retry_after


@behave.given(
    'a router with a queue of {queue:d} and a retry fraction of {fraction:g}'
)
def given_bounds(context, queue, fraction):
    made = dispatcher.Dispatcher(rng=random.Random(1))
    made.target_registry.set_targets([target.Target(*TARGET, slots=1)])
    made.set_overload_limits(overload_limits.OverloadLimits(queue, fraction))
    context.made = made


@behave.then(
    'of 10 offered jobs {waiting:d} wait and {retries:d} retries are granted'
)
def check_bounds(context, waiting, retries):
    made, now = context.made, 100.0
    budget = made.retry_budget('generate')
    while budget.try_withdraw():
        pass
    refused = 0
    for number in range(OFFERED):
        try:
            made.submit(_work(str(number)), now)
        except errors.OverloadedError:
            refused += 1
    assert OFFERED - 1 - refused == waiting, refused
    granted = 0
    while budget.try_withdraw():
        granted += 1
    assert granted == retries, granted
