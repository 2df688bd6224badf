"""Steps for the circuit of a target."""

import random

import behave

from kingcupfront_core import clock
from kingcupfront_route import circuit_breaker


@behave.given('a router circuit')
def given_circuit(context):
    context.clock = clock.ManualClock()
    context.breaker = circuit_breaker.CircuitBreaker(random.Random(1))


@behave.when('the router circuit sees "{results}"')
def see(context, results):
    for result in results.split():
        if result == 'ok':
            context.breaker.record_success()
        else:
            context.breaker.record_failure(context.clock.now)


@behave.when('the router circuit waits {seconds:d} seconds')
def wait(context, seconds):
    context.clock.advance(seconds)


@behave.when('the router circuit passes a probe')
def probe(context):
    context.breaker.record_start(context.clock.now)


@behave.then('the router circuit is {state:w}')
def state_is(context, state):
    assert context.breaker.state(context.clock.now) == state


@behave.then(
    'the router circuit stays open between {low:d} and {high:d} seconds'
)
def stays_open(context, low, high):
    pause = context.breaker.open_until - context.clock.now
    assert low <= pause <= high, pause
