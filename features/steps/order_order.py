"""Steps for orders as a function of what is known."""

import behave

from kingcupfront_config import instance_list
from kingcupfront_config import objects
from kingcupfront_core import address
from kingcupfront_core import clock
from kingcupfront_order import desired_state
from kingcupfront_order import order
from kingcupfront_order import sender_gate
from kingcupfront_order import weight_loads

DESIRED_STATE = desired_state.DesiredState(
    'm', '2', frozenset({'a'}), 'decode', managed_models=frozenset({'m', 'n'})
)


@behave.given(
    'an engine that holds {models} with adapters "{adapters}" as {role} and '
    'has obeyed {fencing:d}'
)
def engine_holds(context, models, adapters, role, fencing):
    pairs = [] if models == 'none' else models.split()
    context.state = order.EngineState(
        dict(pair.split('=') for pair in pairs),
        frozenset(adapters.split()),
        role,
        fencing,
    )


@behave.given(
    'an engine that holds {models} with adapters "" as {role} and '
    'has obeyed {fencing:d}'
)
def engine_holds_none(context, models, role, fencing):
    engine_holds(context, models, '', role, fencing)


@behave.when(
    'model m version 2 with adapter "a" is wanted as decode at revision 7'
)
def next_order(context):
    context.order = order.next_order(context.state, DESIRED_STATE, 7)


@behave.then('the next order is "{text}"')
def check_order(context, text):
    item = context.order
    got = 'none'
    if item is not None:
        assert item.fencing == 7
        parts = (item.kind, item.model, item.version, item.adapter, item.role)
        got = ' '.join(part for part in parts if part)
    assert got == text, got


@behave.when(
    'the wanted states of 9 engines are worked out from the list in two orders'
)
def work_out(context):
    rows = [
        instance_list.Instance(
            f'e{n}', 's', 'p', address.Address('127.0.0.1', n)
        )
        for n in range(9)
    ]
    service = {
        'kind': 'service',
        'name': 's',
        'type': 'model',
        'model': 'm',
        'engines_by_role': {'prefill': 3, 'decode': 2},
    }
    current = objects.ObjectSet.model_validate(
        {
            'revision': 1,
            'based_on': 0,
            'objects': [{'kind': 'model', 'name': 'm'}, service],
        }
    )
    context.both = [
        desired_state.desired_states_by_engine(current, rows),
        desired_state.desired_states_by_engine(current, rows[::-1]),
    ]


@behave.then(
    'they are the same and hold {prefill:d} prefill, {decode:d} decode and '
    '{mixed:d} mixed'
)
def check_roles(context, prefill, decode, mixed):
    one, other = context.both
    assert one == other
    roles = [item.role for item in one.values()]
    counts = [roles.count(r) for r in ('prefill', 'decode', 'mixed')]
    assert counts == [prefill, decode, mixed], counts


@behave.given('a turn that is granted after 5 seconds')
def make_turn(context):
    context.clock = clock.ManualClock()
    context.turn = sender_gate.SenderGate(context.clock)
    context.view = ('me', 1, 0)
    assert not granted(context)
    context.clock.advance(4)
    assert not granted(context)


def granted(context):
    return context.turn.may_send('engine', context.view, True, 5.0)


@behave.when('{event} and the turn waits 4 more seconds')
def view_changes(context, event):
    context.view = {
        'nothing changes': ('me', 1, 0),
        'the sender changes': ('you', 1, 0),
        'the revision changes': ('me', 2, 0),
        'the process is paused': ('me', 1, 1),
    }[event]
    granted(context)
    context.clock.advance(4)


@behave.then('the turn is granted')
def is_granted(context):
    assert granted(context)


@behave.then('the turn is not granted')
def is_not_granted(context):
    assert not granted(context)


@behave.given('a store of 100 bytes a second and 2 loads at one time')
def make_store(context):
    context.store = objects.Store(
        kind='store', name='weights', bytes_per_second=100, max_loads=2
    )


@behave.when(
    'loads of 300 bytes begin whenever they are allowed for 60 seconds'
)
def begin_loads(context):
    time = clock.ManualClock()
    item = weight_loads.WeightLoadLimiter(time)
    context.starts = []
    for second in range(60):
        while item.may_start(context.store):
            item.record_start(context.store, 300)
            context.starts.append(second)
        time.advance(1)


@behave.then('no more than 2 overlap and at most 6300 bytes were ordered')
def check_pace(context):
    assert len(context.starts) * 300 <= 6300, context.starts
    for second in range(60):
        running = [s for s in context.starts if s <= second < s + 6]
        assert len(running) <= 2, (second, context.starts)
