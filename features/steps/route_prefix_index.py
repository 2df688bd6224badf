"""Steps for the index of prompt prefixes."""

import re

import behave

from kingcupfront_route import prefix_index


@behave.given('a router prefix index')
def given_index(context):
    context.index = prefix_index.PrefixIndex(10)


@behave.when('the router prefix index hears "{events}" of a target')
def hear(context, events):
    for now, text in enumerate(events.split(), 1):
        number, sign, value = re.fullmatch(r'(\d+)([+-])(\d+)', text).groups()
        values = (int(value),)
        added, removed = (values, ()) if sign == '+' else ((), values)
        event = prefix_index.CacheEvent(int(number), added, removed)
        context.index.apply_event('t', event, float(now))


@behave.then('the router prefix index counts {held:f} of prefix 1, 2, 3')
def counts(context, held):
    found = context.index.matched_blocks((1, 2, 3), 10.0).get('t', 0.0)
    assert found == held, found


@behave.when('the router prefix index notes {count:d} prefixes')
def add(context, count):
    for value in range(count):
        context.index.add('t', (value,), 1.0)


@behave.then('the router prefix index holds {count:d} prefixes')
def holds(context, count):
    assert len(context.index) == count
