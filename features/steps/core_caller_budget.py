"""Steps for the budget of what callers hold."""

import time

import behave

from features.support import log_capture
from kingcupfront_core import caller_budget

STAGES = {
    'served': caller_budget.Stage.SERVING,
    'read': caller_budget.Stage.READING,
}


def _open(context, name, where=None, can_drop=True):
    def drop(cause):
        if name in context.fixed:
            return False
        context.dropped.append(name)
        return True

    opened = (where or context.budget).open(drop)
    account = context.stack.enter_context(opened)
    context.accounts[name] = account
    return account


def _set_up(context, **limits):
    context.budget = caller_budget.CallerBudget(**limits)
    context.accounts, context.dropped, context.fixed = {}, [], set()
    context.records = context.stack.enter_context(
        log_capture.capturing('kingcupfront_core')
    )


@behave.given('a budget of {count:d} bytes')
def budget(context, count):
    _set_up(context, memory_bytes=int(count / caller_budget.MEMORY_PART))


@behave.given(
    'a connection "{name}" that has held {count:d} bytes since {seconds:d} s '
    'and is {stage}'
)
def holds(context, name, count, seconds, stage):
    account = _open(context, name)
    account.enter(STAGES[stage])
    account.since = time.monotonic() - seconds
    account.resize(count)


@behave.given('connection "{name}" cannot be dropped')
def cannot_be_dropped(context, name):
    context.fixed.add(name)


@behave.when('a connection "{name}" sends {count:d} bytes')
def sends(context, name, count):
    account = _open(context, name)
    account.enter(caller_budget.Stage.READING)
    account.resize(count)


@behave.when('{number:d} connections send {count:d} bytes each')
def many_send(context, number, count):
    for index in range(number):
        sends(context, f'sender-{index}', count)


@behave.then('the connections "{names}" were dropped')
def were_dropped(context, names):
    assert context.dropped == names.split(','), context.dropped


@behave.given(
    'an address for {most:d} connections, {served:d} served, {idle:d} idle '
    'after a request'
)
def address(context, most, served, idle):
    _set_up(context, descriptors=2 * most)
    context.address = caller_budget.Address(
        context.budget, caller_budget.CALLERS_PART
    )
    for index in range(served + idle):
        account = _open(context, f'{index}', context.address)
        account.enter(caller_budget.Stage.SERVING)
        if index >= served:
            account.enter(caller_budget.Stage.IDLE)


@behave.given('the oldest of them has sent half a head')
def half_a_head(context):
    account = _open(context, 'half', context.address)
    account.enter(caller_budget.Stage.READING)


@behave.when('a connection arrives')
def arrives(context):
    context.account = _open(context, 'new', context.address)


@behave.then('only the one with half a head was closed')
def half_closed(context):
    assert context.dropped == ['half'], context.dropped
    assert context.account is not None


@behave.then('it has no room')
def no_room(context):
    assert context.account is None
    assert not context.dropped, context.dropped


@behave.then(
    '{count:d} connections were dropped and one line tells that pressure began'
)
def pressure(context, count):
    assert len(context.dropped) == count, context.dropped
    lines = log_capture.events(context.records, 'caller_pressure_began')
    assert len(lines) == 1, lines
