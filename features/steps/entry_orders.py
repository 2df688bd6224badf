"""Steps for orders from entry processes to engines."""

import json
import signal
import time

import behave
import gevent

from features.support import fleet
from features.support import sets
from kingcupfront_core import rendezvous

OBJECTS_BY_CHANGE = {
    'another version': (1, {'version': '2'}),
    'an adapter': (1, {'adapters': ['north']}),
    'a role': (2, {'engines_by_role': {'decode': 1}}),
}


def make_set(revision, base, change=None):
    objects = fleet.simple_objects()
    objects[2]['order_settle_seconds'] = 1.0
    if change is not None:
        index, fields = OBJECTS_BY_CHANGE[change]
        objects[index] |= fields
    data = sets.made(revision, *base)
    return json.dumps(json.loads(data) | {'objects': objects}).encode()


def publish(context, data):
    sets.put(context.fleet.platform, sets.KEY, data)


def received_orders(context):
    return fleet.get(f'{context.engine.url}/orders')['orders']


@behave.given(
    '{count:d} entry processes and an engine that {checks} fencing tokens'
)
def entries_and_engine(context, count, checks):
    context.fleet = fleet.Fleet()
    context.stack.callback(context.fleet.close)
    context.first = make_set(1, ())
    publish(context, context.first)
    context.engine = context.fleet.add_target('engine', 'assistant', 'engine')
    if checks == 'ignores':
        fleet.post(f'{context.engine.url}/orders/ignore-fencing', {})
    for _ in range(count):
        context.fleet.add_entry()
    context.fleet.wait_ready()
    for entry in context.fleet.entries:
        fleet.until(
            lambda e=entry: len(live_members(e)) == count - 1,
            'the other entries are live',
        )


def live_members(entry):
    members = entry.dump()['parts']['peers']['members'].values()
    return [m for m in members if m['state'] == 'live' and m['incarnation']]


@behave.when('a stream is in progress and the configuration asks for {change}')
def change_during_stream(context, change):
    body = {'model': 'assistant', 'prompt': 'x', 'max_tokens': 250}
    context.stream = gevent.spawn(
        fleet.ask, context.fleet.entries[0], '/v1/completions', body
    )
    fleet.until(context.engine.executions, 'the stream has begun')
    publish(context, make_set(2, (context.first,), change))


@behave.then(
    'the engine receives one "{kind}" order, while idle if it interrupts '
    'requests'
)
def check_one_order(context, kind):
    fleet.until(
        lambda: received_orders(context),
        'the engine has received an order',
        seconds=60,
    )
    time.sleep(4)
    received = received_orders(context)
    assert [o['kind'] for o in received] == [kind], received
    assert kind == 'adapter' or received[0]['busy'] == 0, received


@behave.then('the stream delivered all its tokens')
def check_stream(context):
    response = context.stream.get(timeout=60)
    assert response.status == 200, response.data
    text = json.loads(response.data)['choices'][0]['text']
    assert len(text.split()) == 250


@behave.when(
    'the entry that sends its orders is {fault} and the configuration asks '
    'for an adapter'
)
def fail_sender(context, fault):
    entries = {
        f'entry-{n + 1}': e for n, e in enumerate(context.fleet.entries)
    }
    name = rendezvous.rank('orders engine', entries)[0]
    context.sender = entries[name]
    kinds = {'killed': signal.SIGKILL, 'paused': signal.SIGSTOP}
    context.sender.kill(kinds[fault])
    publish(context, make_set(2, (context.first,), 'an adapter'))


@behave.then('the engine receives one "{kind}" order from another entry')
def check_order_from_other(context, kind):
    check_one_order(context, kind)


@behave.when('the fault of the sender ends')
def resume_sender(context):
    context.sender.kill(signal.SIGCONT)


@behave.then('the engine receives no order of an older revision')
def check_no_old_order(context):
    time.sleep(6)
    received = received_orders(context)
    assert len(received) == 1 and not received[0]['old'], received
