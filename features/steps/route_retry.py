"""Steps for retry budgets and back-off."""

import random

import behave

from kingcupfront_route import retry


@behave.given("a router's retry budget that is used up")
def given_used_up(context):
    context.budget = retry.RetryBudget()
    while context.budget.try_withdraw():
        pass


@behave.when("the router's retry budget counts {count:d} first attempts")
def count_first_attempts(context, count):
    for _ in range(count):
        context.budget.deposit()


@behave.then("the router's retry budget grants {count:d} retries")
def check_granted(context, count):
    granted = sum(context.budget.try_withdraw() for _ in range(count + 5))
    assert granted == count, granted


@behave.then(
    "the router's back-off for retry {attempt:d} is below {most:f} seconds"
)
def check_backoff(context, attempt, most):
    rng = random.Random(1)
    delays = [retry.backoff_seconds(attempt, rng) for _ in range(200)]
    assert all(0 <= delay <= most for delay in delays)
    assert min(delays) < most / 4 and max(delays) > most * 3 / 4
