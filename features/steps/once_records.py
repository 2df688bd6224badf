"""Steps for the memory of keys, with a clock passed in."""

import behave

from kingcupfront_core import clock
from kingcupfront_core import outcomes
from kingcupfront_once import call
from kingcupfront_once import caller_key
from kingcupfront_once import errors
from kingcupfront_once import records

WORK = call.Call('register', 'north', 'POST', '/lots')
LIFETIME_SECONDS = 10.0


@behave.given('a memory for {count:d} keys')
def memory(context, count, total=1000):
    context.clock = clock.ManualClock()
    context.records = records.IdempotencyRecords(
        context.clock, max_records=count, max_total_bytes=total
    )


@behave.given('a memory for {count:d} keys with {total:d} bytes for bodies')
def small_memory(context, count, total):
    memory(context, count, total)


def run(context, key, size=0):
    end = context.clock.monotonic() + LIFETIME_SECONDS
    done = call.Result(outcomes.Outcome.DONE, 200, body=b'x' * size)
    return context.records.run(key, WORK, end, lambda: done)


@behave.when('calls under keys "{keys}" have run')
@behave.then('calls under keys "{keys}" run')
def have_run(context, keys):
    for key in keys.split():
        assert not run(context, key).replayed


@behave.when(
    'calls under keys "{keys}" with answers of {size:d} bytes have run'
)
def have_run_with(context, keys, size):
    for key in keys.split():
        run(context, key, size)


@behave.when('{seconds:d} seconds pass of the 10 that a key lives')
def passes(context, seconds):
    context.clock.advance(seconds)


@behave.then('a call under key "{key}" is refused with "{code}"')
def refused(context, key, code):
    try:
        run(context, key)
    except errors.TooManyKeysError as error:
        assert error.code == code
        return
    raise AssertionError('it ran')


@behave.then('calls under keys "{keys}" are answered from memory')
def from_memory(context, keys):
    for key in keys.split():
        result = run(context, key)
        assert result.replayed and result.outcome == 'done', result


@behave.then('only keys "{keys}" are remembered with their bodies')
def with_bodies(context, keys):
    kept = []
    for key in 'abc':
        result = run(context, key)
        assert result.replayed and result.outcome == 'done', result
        assert result.body_dropped == (not result.body), result
        kept += [key] if result.body else []
    assert kept == keys.split(), kept


@behave.when('the call under key "{key}" breaks')
def breaks(context, key):
    def action():
        raise ZeroDivisionError

    end = context.clock.monotonic() + LIFETIME_SECONDS
    try:
        context.records.run(key, WORK, end, action)
    except ZeroDivisionError:
        return
    raise AssertionError('it did not break')


@behave.then('calls under keys "{keys}" are answered with "{outcome}"')
def answered_with(context, keys, outcome):
    for key in keys.split():
        assert run(context, key).outcome == outcome


@behave.when("a caller's key is {key}")
def own_key(context, key):
    try:
        context.made = caller_key.created_at(key)
    except errors.BadKeyError:
        context.made = None


@behave.then('it was made at {second}')
def made(context, second):
    wanted = None if second == 'none' else float(second)
    assert context.made == wanted, context.made
