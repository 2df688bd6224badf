"""Steps for entries with different instance lists."""

import json

import behave

from features.support import actions
from features.support import fleet
from features.support import halves

BODY = {'lot': 1}


@behave.given(
    'entry A whose list names {first} and entry B whose list names {second}'
)
def two_halves(context, first, second):
    context.halves = halves.Halves(first.split(), second.split())
    context.stack.callback(context.halves.close)


@behave.given('entries A, B and C whose lists name {first}; {second}; {third}')
def three(context, first, second, third):
    views = [view.split() for view in (first, second, third)]
    context.halves = halves.Halves(*views)
    context.stack.callback(context.halves.close)


@behave.given('A and B cannot reach each other')
def cut(context):
    context.halves.cut()


@behave.when(
    "an action under a caller's key is sent to A, then to B, then to A"
)
def in_turn(context):
    world = context.halves
    key = actions.own_key()
    first, second = world.entries
    context.responses = [
        world.act(entry, key, BODY) for entry in (first, second, first)
    ]


@behave.when("an action under a caller's key is sent to B, then to A")
def second_first(context):
    world = context.halves
    key = actions.own_key()
    context.responses = [
        world.act(entry, key, BODY) for entry in world.entries[1::-1]
    ]


def permit(entry):
    response = fleet.ask(entry, '/v1/permits', {'count': 1})
    return json.loads(response.data)['permits'][0]['key']


@behave.when(
    'an action under {what} is sent to A and to B at once, and again after '
    'the partition'
)
def at_once(context, what):
    world = context.halves
    keys = {
        'a permit of A': lambda: permit(world.entries[0]),
        'a permit of B': lambda: permit(world.entries[1]),
        "a caller's key": actions.own_key,
    }
    key = keys[what]()
    context.responses = world.both(key, BODY)
    world.heal()
    context.responses += world.both(key, BODY)


@behave.then(
    'the outcomes through A and B are "{outcomes}" and the action ran '
    '{runs:d} times'
)
def check(context, outcomes, runs):
    seen = [actions.outcome(r) for r in context.responses]
    text = [r.data for r in context.responses]
    assert seen == outcomes.split(), (seen, text)
    assert len(context.halves.plain.executions()) == runs
