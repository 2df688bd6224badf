"""Steps for retry budgets and back-off."""

import random

import behave

from kingcupfront_route import retry


@behave.given('a router retry budget that is used up')
def used_up(context):
    context.budget = retry.RetryBudget()
    while context.budget.try_withdraw():
        pass


@behave.when('the router retry budget sees {count:d} first tries')
def first_tries(context, count):
    for _ in range(count):
        context.budget.deposit()


@behave.then('the router retry budget allows {count:d} retries')
def allows(context, count):
    allowed = sum(context.budget.try_withdraw() for _ in range(count + 5))
    assert allowed == count, allowed


@behave.then(
    'the router back-off for retry {attempt:d} is below {most:f} seconds'
)
def back_off(context, attempt, most):
    rng = random.Random(1)
    delays = [retry.backoff_seconds(attempt, rng) for _ in range(200)]
    assert all(0 <= delay <= most for delay in delays)
    assert min(delays) < most / 4 and max(delays) > most * 3 / 4
