"""Steps for cache events of engines."""

import behave

from features.support import fleet

BLOCK_BYTES = 1024
TOKENS = 2


@behave.given(
    '{entries:d} entries that follow the cache events of {engines:d} engines'
)
def start(context, entries, engines):
    context.fleet = fleet.Fleet()
    context.stack.callback(context.fleet.close)
    context.fleet.publish(fleet.simple_objects())
    context.engines, _ = context.fleet.launch(entries, engines, plains=0)


@behave.given('each engine loses {count:d} cache events')
def lose(context, count):
    for engine in context.engines:
        engine.faults(cache_gap=count)


@behave.given('the engines have no cache events')
def without(context):
    for engine in context.engines:
        engine.faults(cache_down=True)


@behave.when(
    '{count:d} requests of {blocks:d} blocks with other prompts come through '
    'the first entry'
)
def send(context, count, blocks):
    context.statuses = []
    for number in range(count):
        body = {
            'model': 'assistant',
            'prompt': f'{number}' + 'x' * (blocks * BLOCK_BYTES),
            'max_tokens': TOKENS,
        }
        answer = fleet.ask(context.fleet.entries[0], '/v1/completions', body)
        context.statuses.append(answer.status)


@behave.then('the second entry knows at least {count:d} prefixes')
def knows(context, count):
    entry = context.fleet.entries[1]

    def known():
        return entry.dump()['parts']['router']['prefixes'] >= count

    fleet.until(known, f'{count} prefixes are known')


@behave.then('the requests with other prompts were all whole')
def whole(context):
    assert set(context.statuses) == {200}, context.statuses
