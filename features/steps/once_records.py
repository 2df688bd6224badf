"""Steps for the records of idempotency keys, with a manual clock."""

import behave

from kingcupfront_core import clock
from kingcupfront_core import outcomes
from kingcupfront_once import call
from kingcupfront_once import caller_key
from kingcupfront_once import errors
from kingcupfront_once import records

REQUEST = call.Call('register', 'north', 'POST', '/lots')
RETENTION_SECONDS = 10.0


@behave.given('a table of records for {count:d} keys')
def create_records(context, count, total=1000):
    context.clock = clock.ManualClock()
    context.records = records.IdempotencyRecords(
        context.clock, max_records=count, max_total_bytes=total
    )


@behave.given(
    'a table of records for {count:d} keys with {total:d} bytes for bodies'
)
def create_records_with_body_limit(context, count, total):
    create_records(context, count, total)


def run_call(context, key, size=0):
    end = context.clock.monotonic() + RETENTION_SECONDS
    done = call.Result(outcomes.Outcome.DONE, 200, body=b'x' * size)
    return context.records.run(key, REQUEST, end, lambda: done)


@behave.when('calls with keys "{keys}" have run')
@behave.then('calls with keys "{keys}" run')
def run_first_calls(context, keys):
    for key in keys.split():
        assert not run_call(context, key).replayed


@behave.when(
    'calls with keys "{keys}" and responses of {size:d} bytes have run'
)
def run_first_calls_with_bodies(context, keys, size):
    for key in keys.split():
        run_call(context, key, size)


@behave.when('{seconds:d} seconds of the 10 that a record is kept have passed')
def advance_clock(context, seconds):
    context.clock.advance(seconds)


@behave.then('a call with key "{key}" is refused with "{code}"')
def check_refused(context, key, code):
    try:
        run_call(context, key)
    except errors.TooManyKeysError as error:
        assert error.code == code
        return
    raise AssertionError('the call ran')


@behave.then('calls with keys "{keys}" return stored results')
def check_replayed(context, keys):
    for key in keys.split():
        result = run_call(context, key)
        assert result.replayed and result.outcome == 'done', result


@behave.then('only the results of keys "{keys}" have their bodies')
def check_stored_bodies(context, keys):
    keys_with_body = []
    for key in 'abc':
        result = run_call(context, key)
        assert result.replayed and result.outcome == 'done', result
        assert result.body_dropped == (not result.body), result
        keys_with_body += [key] if result.body else []
    assert keys_with_body == keys.split(), keys_with_body


@behave.when('the call with key "{key}" raises an unexpected exception')
def raise_in_call(context, key):
    def action():
        raise ZeroDivisionError

    end = context.clock.monotonic() + RETENTION_SECONDS
    try:
        context.records.run(key, REQUEST, end, action)
    except ZeroDivisionError:
        return
    raise AssertionError('the call raised no exception')


@behave.then('calls with keys "{keys}" return the outcome "{outcome}"')
def check_outcome(context, keys, outcome):
    for key in keys.split():
        assert run_call(context, key).outcome == outcome


@behave.when("a caller's key is {key}")
def read_caller_key(context, key):
    try:
        context.created_at = caller_key.created_at(key)
    except errors.BadKeyError:
        context.created_at = None


@behave.then('its creation time is {second}')
def check_creation_time(context, second):
    expected = None if second == 'none' else float(second)
    assert context.created_at == expected, context.created_at
