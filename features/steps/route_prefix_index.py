"""Steps for the index of prompt prefixes."""

import re

import behave

from kingcupfront_route import prefix_index


@behave.given("a router's prefix index")
def given_index(context):
    context.index = prefix_index.PrefixIndex(10)


@behave.when(
    'the events "{events}" of a target reach the router\'s prefix index'
)
def apply_events(context, events):
    for now, text in enumerate(events.split(), 1):
        number, sign, value = re.fullmatch(r'(\d+)([+-])(\d+)', text).groups()
        hashes = (int(value),)
        added, removed = (hashes, ()) if sign == '+' else ((), hashes)
        event = prefix_index.CacheEvent(int(number), added, removed)
        context.index.apply_event('t', event, float(now))


@behave.then(
    "the router's prefix index expects {held:f} blocks of prefix 1, 2, 3"
)
def check_matched(context, held):
    found = context.index.matched_blocks((1, 2, 3), 10.0).get('t', 0.0)
    assert found == held, found


@behave.when("{count:d} prefixes are added to the router's prefix index")
def add_prefixes(context, count):
    for value in range(count):
        context.index.add('t', (value,), 1.0)


@behave.then("the router's prefix index has {count:d} prefixes")
def check_size(context, count):
    assert len(context.index) == count
