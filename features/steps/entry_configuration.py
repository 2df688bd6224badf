"""Steps for the configuration in force on entry processes."""

import json
import re
import signal

import behave

from features.support import fleet
from features.support import sets
from kingcupfront_config import manifest


def get_component(entry, name='configuration'):
    return entry.dump()['parts'][name]


def wait_in_force(context, revision):
    fleet.until(
        lambda: all(
            get_component(e)['revision'] == revision
            for e in context.fleet.entries
        ),
        f'revision {revision} is in force on all entries',
        seconds=60,
    )
    assert (
        len({get_component(e)['digest'] for e in context.fleet.entries}) == 1
    )


@behave.given('{count:d} entry processes with revision 1 in force')
def start_entries(context, count):
    context.fleet = fleet.Fleet()
    context.stack.callback(context.fleet.close)
    context.first = sets.made(1)
    sets.put(context.fleet.platform, sets.KEY, context.first)
    for _ in range(count):
        context.fleet.add_entry()
    wait_in_force(context, 1)
    context.ended = lambda: None


@behave.when('an entry {fault} and revision 2 is published')
def publish_during_fault(context, fault):
    platform = context.fleet.platform
    entry = context.fleet.entries[0]
    second = sets.made(2, context.first)
    if fault.startswith('cannot reach'):
        other = context.fleet.start(fleet.Standin, 'platform')
        other.faults(down=True)
        add_separate_entry(context, other)
    elif fault.startswith('is served'):
        other = context.fleet.start(fleet.Standin, 'platform')
        sets.put(other, sets.KEY, context.first)
        add_separate_entry(context, other)
    elif fault == 'is paused':
        entry.kill(signal.SIGSTOP)
        context.ended = lambda: entry.kill(signal.SIGCONT)
    elif fault.startswith('is killed'):
        entry.close()
        context.fleet.entries.remove(entry)
        context.ended = lambda: context.fleet.add_entry('entry-1')
    sets.put(platform, sets.KEY, second)
    if fault.startswith('starts'):
        wait_in_force(context, 2)
        platform.faults(down=True)
        add_separate_entry(context, platform)


def add_separate_entry(context, platform):
    peers = [e.peers for e in context.fleet.entries]
    where = {
        'configuration': platform.address,
        'instances': platform.address,
    }
    context.fleet.add_entry(platform=where, seeds=peers)


@behave.when('the fault ends')
def end_fault(context):
    context.ended()


@behave.then(
    'revision {revision:d} is in force on all entries and none returned to an '
    'older one'
)
def check_never_went_back(context, revision):
    wait_in_force(context, revision)
    for entry in context.fleet.entries:
        found = re.findall(
            r'configuration_in_force.* revision=(\d+)', entry.text()
        )
        numbers = [int(n) for n in found]
        assert numbers == sorted(set(numbers)), numbers


@behave.when('revision 2 and then revision 3, both based on 1, are published')
def publish_rivals(context):
    sets.put(context.fleet.platform, sets.KEY, sets.made(2, context.first))
    wait_in_force(context, 2)
    sets.put(context.fleet.platform, sets.KEY, sets.made(3, context.first))


@behave.then(
    'revision {held:d} is in force on all entries and they show why revision '
    '{lost:d} was refused'
)
def check_refusal_shown(context, held, lost):
    wait_in_force(context, held)

    def is_refused(entry):
        refusal = get_component(entry)['refusal']
        return refusal is not None and refusal['revision'] == lost

    for entry in context.fleet.entries:
        fleet.until(
            lambda e=entry: is_refused(e), 'the entry shows why', seconds=60
        )


@behave.when('an entry is added')
def add_entry(context):
    context.fleet.add_entry()


@behave.when('a set that names a missing model is published')
def publish_invalid(context):
    service = {
        'kind': 'service',
        'name': 'other',
        'type': 'model',
        'model': 'gone',
    }
    sets.put(
        context.fleet.platform,
        sets.KEY,
        sets.made(2, context.first, objects=[service]),
    )


@behave.then('a watcher reports that the model is missing')
def check_missing_model(context):
    fleet.until(
        lambda: any(
            "no model 'gone'" in str(get_component(e)['refusal'])
            for e in context.fleet.entries
        ),
        'the refusal names the model',
    )


@behave.when('a set of {size:d} bytes is published in parts')
def publish_parts(context, size):
    objects = [
        {'kind': 'model', 'name': f'm{n}', 'version': f'{n:0200d}'}
        for n in range(size // 200)
    ]
    data = sets.made(2, context.first, objects=objects)
    assert len(data) > size
    for key, value in manifest.split(sets.KEY, data).items():
        sets.put(context.fleet.platform, key, value)


@behave.given(
    'an entry process with no peers whose configuration service is down'
)
def start_isolated_entry(context):
    context.fleet = fleet.Fleet()
    context.stack.callback(context.fleet.close)
    context.fleet.platform.faults(down=True)
    context.fleet.add_entry(register=False)


@behave.then(
    'it is not ready and reports that the service gave no configuration'
)
def check_not_ready(context):
    entry = context.fleet.entries[0]
    fleet.until(
        lambda: 'the service gave none' in get_component(entry)['waiting_for'],
        'the entry reports what it waits for',
    )
    assert not fleet.ready(entry)


@behave.given('{count:d} entry processes and two engines')
def entries_and_engines(context, count):
    start_entries(context, count)
    context.engines = [
        context.fleet.add_target('engine', 'assistant', f'engine-{n}')
        for n in (1, 2)
    ]
    for entry in context.fleet.entries:
        fleet.until(
            lambda e=entry: len(e.dump()['targets']) == 2,
            'both engines are known',
        )


@behave.when('one engine is marked as leaving by {sign}')
def mark_leaving(context, sign):
    engine = context.engines[0]
    if sign == 'the list':
        context.fleet.register(
            engine.id, engine.address, 'assistant', leaving='true'
        )
    elif sign == 'the objects':
        objects = fleet.simple_objects()
        objects[2]['leaving_targets'] = [engine.id]
        value = json.loads(sets.made(2, context.first)) | {'objects': objects}
        sets.put(context.fleet.platform, sets.KEY, json.dumps(value).encode())
    else:
        context.fleet.platform.faults(down=True)
        engine.faults(leaving=True)


@behave.then('no entry sends it new requests')
def check_no_new_requests(context):
    engine = context.engines[0]
    for entry in context.fleet.entries:
        fleet.until(
            lambda e=entry: e.dump()['targets'][engine.id]['leaving'],
            'the entry knows that the engine is leaving',
        )
    before = len(engine.executions())
    body = {'model': 'assistant', 'prompt': 'x', 'max_tokens': 1}
    for entry in context.fleet.entries:
        for _ in range(4):
            answer = fleet.ask(entry, '/v1/completions', body)
            assert answer.status == 200, answer.data
    assert len(engine.executions()) == before
