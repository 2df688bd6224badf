"""Steps for stops of gateways in turn."""

import behave

from features.support.soak import delays
from features.support.soak import lost
from features.support.soak import rolling_stops

SEED = 3


@behave.when('gateways are stopped in turn under {load} load, seed {seed:d}')
def stop_in_turn(context, load, seed):
    play = rolling_stops.Play(load=load)
    context.cuts, _ = rolling_stops.run(seed, play)


@behave.when(
    'a gateway with the planted fault "{fault}" is stopped with a grace of '
    '{grace} s'
)
def stop_planted(context, fault, grace):
    # One gateway beside a peer; if it ends at once, some rounds of stops.
    play = rolling_stops.Play(
        load='heavy', seconds=6.0, gateways=2, graces=grace, planted=fault
    )
    context.cuts, _ = rolling_stops.run(SEED, play)


@behave.when(
    'a gateway with the planted fault "{fault}" is stopped with a grace of '
    '{grace} s and the soak is delayed at second {at:d}'
)
def stop_planted_delayed(context, fault, grace, at):
    with delays.delayed(at):
        stop_planted(context, fault, grace)


def _lost(context):
    return [cut for cut in context.cuts if cut.why == lost.LOST]


@behave.then('no request was lost')
def held(context):
    assert not _lost(context), '\n'.join(map(str, _lost(context)))


@behave.then('a request was lost')
def broken(context):
    assert _lost(context), '\n'.join(map(str, context.cuts))
