"""Steps for actions under permits, under callers' keys and without keys."""

import json

import behave

from features.support import action_situations
from features.support import actions
from features.support import fleet
from features.support import key_situations


@behave.given('a fleet for actions')
def given_fleet(context):
    feature = context.feature
    if getattr(feature, 'actions', None) is None:
        feature.actions = actions.Actions()
        context.add_cleanup(feature.actions.close, layer='feature')
    context.actions = feature.actions
    context.actions.heal()


@behave.when('an action under a permit is sent repeatedly while {what}')
def under_permit(context, what):
    run(context, action_situations.permits.get(what))


@behave.when("an action under a caller's key is sent repeatedly while {what}")
def under_own_key(context, what):
    run(context, action_situations.own_keys.get(what))


def run(context, situation):
    context.body = context.actions.body()
    context.responses = situation(context.actions, context.body)


@behave.then('the outcomes are "{outcomes}" and the action ran {runs:d} times')
def check_outcomes(context, outcomes, runs):
    seen = [actions.outcome(r) for r in context.responses]
    text = [r.data for r in context.responses]
    assert seen == outcomes.split(), (seen, text)
    ran = context.actions.runs(context.body)
    assert ran == runs, ran


@behave.when('an action is sent under a key that is {what}')
def bad_key(context, what):
    context.body = context.actions.body()
    situation = key_situations.keys.get(what)
    context.response = situation(context.actions, context.body)


@behave.then(
    'the response is {status:d} "{code}" with outcome "{outcome}" and the '
    'action ran {runs:d} times'
)
def check_refusal(context, status, code, outcome, runs):
    got = context.response
    seen = (got.status, actions.code(got), actions.outcome(got))
    assert seen == (status, code, outcome), (seen, got.data)
    assert context.actions.runs(context.body) == runs


@behave.when('two teams send different actions under the same key')
def two_teams(context):
    world = context.actions
    context.bodies = [world.body(), world.body()]
    key = actions.own_key()
    for body, team in zip(
        context.bodies, (fleet.KEY, actions.OTHER_KEY), strict=True
    ):
        response = world.act(
            world.fleet.entries[1],
            key,
            body,
            headers={'Authorization': f'Bearer {team}'},
        )
        assert actions.outcome(response) == 'done', response.data


@behave.then("each team's action ran once")
def each_ran(context):
    assert [context.actions.runs(b) for b in context.bodies] == [1, 1]


@behave.when(
    'an action without a key is sent and the service drops the connection'
)
def without_key(context):
    context.actions.plain.faults(die=True)
    run(context, lambda w, b: [w.act(w.fleet.entries[0], '', b)])


STATES = {
    'refuses': {'refuse': True},
    'drops its connections': {'die': True},
    'answers 503 as a gateway': {'gateway': True},
}


@behave.when(
    '{count:d} {method} calls are sent to two targets, one of which {state}'
)
def two_targets(context, count, method, state):
    world = context.actions
    targets = [world.fleet.add_target('plain', 'pair') for _ in range(2)]
    entry = world.fleet.entries[0]
    for item in targets:
        context.stack.callback(world.fleet.deregister, item.id)
        fleet.until(lambda i=item: i.id in entry.dump()['targets'], 'target')
    if state == 'has ended':
        targets[0].kill()
        targets[0].popen.wait()
    else:
        targets[0].faults(**STATES[state])
    bodies = [world.body() for _ in range(count)]
    context.outcomes = {
        actions.outcome(world.act(entry, '', body, 'pair', method=method))
        for body in bodies
    }
    alive = [t for t in targets if t.popen.poll() is None]
    ran = [e['body'] for t in alive for e in t.executions()]
    context.counts = [ran.count(json.dumps(body)) for body in bodies]


@behave.then(
    'each call ran at most {most:d} times with outcomes among "{outcomes}"'
)
def at_most(context, most, outcomes):
    assert set(context.counts) <= set(range(most + 1)), context.counts
    assert context.outcomes <= set(outcomes.split()), context.outcomes


@behave.when('an action with a large response is sent twice under a permit')
def large_answer(context):
    world = context.actions
    key = world.permits(world.fleet.entries[1])[0]
    body = {'lot': 'x' * 100_000}
    context.responses = [
        world.act(world.fleet.entries[n], key, body) for n in (1, 2)
    ]


@behave.then(
    'the second response is marked as replayed and as without its body'
)
def marked(context):
    first, second = context.responses
    assert 'Kingcupfront-Replayed' not in first.headers
    assert len(first.data) > 100_000
    assert second.headers['Kingcupfront-Replayed'] == 'true'
    assert second.headers['Kingcupfront-Body-Dropped'] == 'true'
    assert (actions.outcome(second), second.data) == ('done', b'')


@behave.when("the instance list gives an entry's name to another process")
def name_twice(context):
    world = context.actions
    first, second = world.fleet.entries[1:]
    world.fleet.register(first.name, second.peers, 'kingcupfront')
    world.fleet.register('marker', second.peers, 'kingcupfront')
    fleet.until(
        lambda: 'marker' in str(first.dump()), 'the instance list is read'
    )


@behave.then("an action under the entry's permit still runs once")
def still_once(context):
    world = context.actions
    first, second = world.fleet.entries[1:]
    body = world.body()
    response = world.act(second, world.permits(first)[0], body)
    world.fleet.register(first.name, first.peers, 'kingcupfront')
    world.fleet.deregister('marker')
    assert actions.outcome(response) == 'done', response.data
    assert world.runs(body) == 1
    world.settled(first)


@behave.when('an action under a permit has ended')
def one_action(context):
    world = context.actions
    context.key = world.permits(world.fleet.entries[1])[0]
    world.act(world.fleet.entries[1], context.key, world.body())


@behave.then('the state dump of the owner counts the key but does not show it')
def check_dump(context):
    entry = context.actions.fleet.entries[1]
    dump = entry.dump()
    assert dump['parts']['keys']['remembered'] >= 1, dump['parts']
    assert context.key not in str(dump)
    assert context.key not in entry.text()
