"""Steps for the router's policy, its team limits and prefix hashes."""

import behave
import gevent

from features.support import fleet
from kingcupfront_entry import routing

TOKENS = 30
SLOW_TOKEN_SECONDS = 0.2


def publish(context, name, limit=None):
    rows = fleet.simple_objects()
    rows.append({'kind': 'policy', 'name': 'chosen', 'routing': name})
    for row in rows:
        if row['name'] == 'assistant':
            row['policy'] = 'chosen'
        if row['kind'] == 'team' and limit:
            row['max_concurrent'] = limit
    context.policy = name
    context.fleet.publish(rows)


@behave.given(
    '{count:d} routing entries and an engine under the policy "{name}"'
)
def start(context, count, name):
    context.fleet = fleet.Fleet()
    context.stack.callback(context.fleet.close)
    publish(context, name)
    context.engines, _ = context.fleet.launch(entries=count, plains=0)


@behave.when('the routing policy "{name}" is published')
def publish_policy(context, name):
    publish(context, name)


@behave.then('each entry routes by "{name}" and knows of {count:d} entries')
def routes_by(context, name, count):
    def settled(entry):
        dump = entry.dump()['parts']['router']
        return dump['policy'] == name and dump['entries'] == count

    for entry in context.fleet.entries:
        fleet.until(lambda e=entry: settled(e), f'{name} at {count} entries')


@behave.given('the team is limited to {limit:d} requests in progress')
def limit_team(context, limit):
    publish(context, context.policy, limit)
    routes_by(context, context.policy, len(context.fleet.entries))
    for entry in context.fleet.entries:
        fleet.until(
            lambda e=entry: (
                e.dump()['configuration']['revision'] == context.fleet.revision
            ),
            'the limit is in force',
        )


@behave.when('{count:d} callers send requests to both entries at once')
def ask_at_once(context, count):
    # Slow tokens keep every generation running until the last request
    # has been sent.
    context.engines[0].faults(token_seconds=SLOW_TOKEN_SECONDS)
    body = {
        'model': 'assistant',
        'prompt': 'hello',
        'max_tokens': TOKENS,
        'stream': True,
    }
    entries = context.fleet.entries
    tasks = [
        gevent.spawn(
            fleet.ask, entries[i % len(entries)], '/v1/completions', body
        )
        for i in range(count)
    ]
    gevent.joinall(tasks, raise_error=True)
    context.statuses = [task.value.status for task in tasks]


@behave.then(
    'at most {limit:d} requests were served at once and the others got 429'
)
def served(context, limit):
    assert set(context.statuses) == {200, 429}, context.statuses
    assert context.statuses.count(200) <= limit, context.statuses


@behave.then(
    'two requests of {size:d} bytes that differ at byte {where:d} share '
    '{count:d} block hashes'
)
def share(context, size, where, count):
    first = b'a' * size
    second = first[:where] + b'b' + first[where + 1 :]
    pairs = zip(
        routing.prefix_hashes(first),
        routing.prefix_hashes(second),
        strict=True,
    )
    assert sum(a == b for a, b in pairs) == count
