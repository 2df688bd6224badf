"""Steps for token rate limits of teams and for overload limits."""

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

SUBMITTED_REQUESTS = 10
TARGET = ('t', address.Address('127.0.0.1', 1), 'generate', 'p')


def _request(number='1'):
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


@behave.when('{count:d} tokens of the router\'s team are generated')
def consume(context, count):
    context.rates.consume('a', count, context.now)


@behave.when('{seconds:g} seconds of the router\'s token rate pass')
def advance_clock(context, seconds):
    context.now += seconds


@behave.then('the router\'s team must wait {seconds:g} seconds')
def check_wait(context, seconds):
    found = context.rates.wait_seconds('a', context.now)
    assert abs(found - seconds) < 1e-6, found


@behave.given('a router whose team may have {rate:g} tokens a second')
def given_router(context, rate):
    context.router = router.Router(
        time=clock.ManualClock(), rng=random.Random(1)
    )
    context.router.set_targets([target.Target(*TARGET)])
    context.router.set_teams([team.Team('a', tokens_per_second=rate)])


@behave.when('the router\'s team gets {count:d} tokens on one request')
def add_tokens(context, count):
    with context.router.place(_request()) as placed:
        placed.add_tokens(count)


@behave.then('the router refuses its next request for about 1 second')
def check_refused(context):
    try:
        with context.router.place(_request('2')):
            raise AssertionError('the request was placed')
    except errors.TeamLimitError as error:
        assert 1 <= error.retry_after < 1.2, error.retry_after


@behave.given(
    'a router with a queue of {queue:d} and a retry fraction of {fraction:g}'
)
def given_limits(context, queue, fraction):
    limited = dispatcher.Dispatcher(rng=random.Random(1))
    limited.target_registry.set_targets([target.Target(*TARGET, slots=1)])
    limited.set_overload_limits(
        overload_limits.OverloadLimits(queue, fraction)
    )
    context.dispatcher = limited


@behave.then(
    'of 10 requests {waiting:d} wait and {retries:d} retries are granted'
)
def check_limits(context, waiting, retries):
    limited, now = context.dispatcher, 100.0
    budget = limited.retry_budget('generate')
    while budget.try_withdraw():
        pass
    refused = 0
    for number in range(SUBMITTED_REQUESTS):
        try:
            limited.submit(_request(str(number)), now)
        except errors.OverloadedError:
            refused += 1
    assert SUBMITTED_REQUESTS - 1 - refused == waiting, refused
    granted = 0
    while budget.try_withdraw():
        granted += 1
    assert granted == retries, granted
