"""Steps for orders to engines, with a manual clock."""

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
    'an engine with models {models}, adapters "{adapters}", role {role} and '
    'fencing {fencing:d}'
)
def create_engine_state(context, models, adapters, role, fencing):
    versions = [] if models == 'none' else models.split()
    context.state = order.EngineState(
        dict(version.split('=') for version in versions),
        frozenset(adapters.split()),
        role,
        fencing,
    )


@behave.given(
    'an engine with models {models}, adapters "", role {role} and '
    'fencing {fencing:d}'
)
def create_engine_state_without_adapters(context, models, role, fencing):
    create_engine_state(context, models, '', role, fencing)


@behave.when(
    'the desired state is model m version 2 with adapter "a" and role decode '
    'at revision 7'
)
def next_order(context):
    context.order = order.next_order(context.state, DESIRED_STATE, 7)


@behave.then('the next order is "{text}"')
def check_order(context, text):
    found_order = context.order
    got = 'none'
    if found_order is not None:
        assert found_order.fencing == 7
        parts = (
            found_order.kind,
            found_order.model,
            found_order.version,
            found_order.adapter,
            found_order.role,
        )
        got = ' '.join(part for part in parts if part)
    assert got == text, got


@behave.when(
    'the desired states of 9 engines are computed from the instance list in '
    'two orders'
)
def compute_desired_states(context):
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
    context.desired_states = [
        desired_state.desired_states_by_engine(current, rows),
        desired_state.desired_states_by_engine(current, rows[::-1]),
    ]


@behave.then(
    'they are equal and have {prefill:d} prefill, {decode:d} decode and '
    '{mixed:d} mixed roles'
)
def check_roles(context, prefill, decode, mixed):
    first, second = context.desired_states
    assert first == second
    roles = [state.role for state in first.values()]
    counts = [roles.count(r) for r in ('prefill', 'decode', 'mixed')]
    assert counts == [prefill, decode, mixed], counts


@behave.given(
    'a sender that has waited 4 of 5 seconds without a change of its view'
)
def create_sender_gate(context):
    context.clock = clock.ManualClock()
    context.sender_gate = sender_gate.SenderGate(context.clock)
    context.view = ('me', 1, 0)
    assert not may_send(context)
    context.clock.advance(4)
    assert not may_send(context)


def may_send(context):
    return context.sender_gate.may_send('engine', context.view, True, 5.0)


@behave.when('{event} and the sender waits 4 more seconds')
def change_view(context, event):
    context.view = {
        'nothing changes': ('me', 1, 0),
        'the sender changes': ('you', 1, 0),
        'the revision changes': ('me', 2, 0),
        'the process is paused': ('me', 1, 1),
    }[event]
    may_send(context)
    context.clock.advance(4)


@behave.then('the sender may send orders')
def check_may_send(context):
    assert may_send(context)


@behave.then('the sender may not send orders')
def check_may_not_send(context):
    assert not may_send(context)


@behave.given(
    'a store with 100 bytes per second and at most 2 concurrent loads'
)
def create_store(context):
    context.store = objects.Store(
        kind='store', name='weights', bytes_per_second=100, max_loads=2
    )


@behave.when(
    'loads of 300 bytes start as soon as they are permitted for 60 seconds'
)
def start_loads(context):
    time = clock.ManualClock()
    limiter = weight_loads.WeightLoadLimiter(time)
    context.load_starts = []
    for second in range(60):
        while limiter.may_start(context.store):
            limiter.record_start(context.store, 300)
            context.load_starts.append(second)
        time.advance(1)


@behave.then('at most 2 loads overlap and at most 6300 bytes were ordered')
def check_loads(context):
    assert len(context.load_starts) * 300 <= 6300, context.load_starts
    for second in range(60):
        running = [s for s in context.load_starts if s <= second < s + 6]
        assert len(running) <= 2, (second, context.load_starts)
