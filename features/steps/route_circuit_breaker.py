"""Steps for the circuit breaker of a target."""

import random

import behave

from kingcupfront_core import clock
from kingcupfront_route import circuit_breaker


@behave.given("a router's circuit breaker")
def given_breaker(context):
    context.clock = clock.ManualClock()
    context.breaker = circuit_breaker.CircuitBreaker(random.Random(1))


@behave.when('the router\'s circuit breaker records "{results}"')
def record_results(context, results):
    for result in results.split():
        if result == 'ok':
            context.breaker.record_success()
        else:
            context.breaker.record_failure(context.clock.now)


@behave.when("{seconds:d} seconds of the router's circuit breaker pass")
def advance_clock(context, seconds):
    context.clock.advance(seconds)


@behave.when("the router's circuit breaker lets a probe through")
def start_probe(context):
    context.breaker.record_start(context.clock.now)


@behave.then("the router's circuit breaker is {state:w}")
def check_state(context, state):
    assert context.breaker.state(context.clock.now) == state


@behave.then(
    "the router's circuit breaker stays open between {low:d} and {high:d}"
    ' seconds'
)
def check_open_time(context, low, high):
    open_seconds = context.breaker.open_until - context.clock.now
    assert low <= open_seconds <= high, open_seconds
