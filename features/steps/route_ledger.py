"""Steps for the ledger of an entry's own load changes."""

import behave

from kingcupfront_route import ledger


@behave.given(
    'a router ledger with {count:d} changes of {blocks:d} blocks, one a'
    ' second from 1'
)
def given_ledger(context, count, blocks):
    context.ledger = ledger.Ledger()
    for second in range(1, count + 1):
        context.ledger.add(ledger.LoadChange(float(second), 1, blocks, 0))


@behave.given('a router ledger with {count:d} changes in one second')
def given_burst(context, count):
    context.ledger = ledger.Ledger()
    for number in range(count):
        context.ledger.add(ledger.LoadChange(number / count, 1, 1, 0))


@behave.then(
    'the router ledger shows {blocks:d} blocks since second {moment:g}'
)
def check_sum(context, blocks, moment):
    assert context.ledger.sum_since(moment).blocks == blocks


@behave.then('the router ledger keeps at most {count:d} changes')
def check_length(context, count):
    assert len(context.ledger) <= count, len(context.ledger)
