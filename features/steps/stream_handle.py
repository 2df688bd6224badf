"""Steps for resume handles."""

import random

import behave

from features.support import handles
from kingcupfront_core import address
from kingcupfront_core import clock
from kingcupfront_stream import handle

SEED = 84
NOW = 1_780_000_000.0


@behave.given('{count:d} drawn resume handles')
def drawn(context, count):
    rng = random.Random(SEED)
    writer = handle.Handles(['s'], clock.ManualClock(NOW))
    context.reader = writer
    context.handles = []
    for _ in range(count):
        named = handle.Handle(
            address.Address('127.0.0.1', rng.randrange(1024, 65536)),
            rng.randbytes(16).hex(),
            rng.randbytes(4).hex().encode(),
            'north',
        )
        context.handles.append((named, writer.write(named).decode()))


@behave.then('some resume handles begin with a dot and some do not')
def both_kinds(context):
    dotted = sum(signed.startswith('.') for _, signed in context.handles)
    assert 0 < dotted < len(context.handles), dotted


@behave.then('each resume handle is found in its event ids')
def found(context):
    for named, signed in context.handles:
        event_id = f'{signed}.17'
        assert handles.signed_part(event_id) == signed
        assert context.reader.read(event_id) == (named, 17)


@behave.then('no two resume handles are the same')
def distinct(context):
    parts = {handles.signed_part(f'{s}.1') for _, s in context.handles}
    assert len(parts) == len(context.handles)
