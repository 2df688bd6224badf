"""Steps for the example deployments."""

import json
import pathlib

import behave

from features.support import fleet
from kingcupfront_config import check
from kingcupfront_config import jsonc
from kingcupfront_config import publication
from kingcupfront_config import schema
from kingcupfront_route import policy
from kingcupfront_route import router  # noqa: F401 - fills the registry


def sound_objects(folder):
    result = check.check([pathlib.Path(folder, 'objects')], policy.policies)
    assert not result.problems, result.problems
    return result.objects


@behave.then('the check of the objects in {folder} finds nothing')
def passes(context, folder):
    assert len(sound_objects(folder)) >= 15


@behave.given('the example deployment in {folder}, on loopback')
def deployment(context, folder):
    context.fleet = fleet.Fleet()
    context.stack.callback(context.fleet.close)
    value = publication.compose(sound_objects(folder), revision=1, based_on=0)
    context.fleet.publish(json.loads(value)['objects'])
    engine = context.fleet.start(fleet.Standin, 'engine')
    plain = context.fleet.start(fleet.Standin, 'plain')
    text = pathlib.Path(folder, 'instances.json').read_text()
    for row in jsonc.loads(text).value:
        meta = row['Meta']
        if meta['service'] == 'kingcupfront':
            continue
        is_engine = row['ID'].startswith('engine')
        target = engine if is_engine else plain
        context.fleet.register(row['ID'], target.address, **meta)
    context.settings = [
        jsonc.loads(path.read_text()).value
        for path in sorted(pathlib.Path(folder, 'settings').glob('*.json'))
    ]


@behave.when('its nine entries start')
def start_nine(context):
    listener = {'address': '127.0.0.1:0'}
    platform = {
        'configuration': context.fleet.platform.address,
        'instances': context.fleet.platform.address,
    }
    for values in context.settings:
        changes = values | {
            'callers': listener,
            'administration': listener,
            'peers': listener,
            'platform': values['platform'] | platform,
        }
        name = changes.pop('instance')
        entry = context.fleet.add_entry(name, register=False, **changes)
        context.fleet.register(
            name, entry.peers, 'kingcupfront', values['place']
        )
    assert len(context.fleet.entries) == 9


@behave.then('each becomes ready with {targets:d} targets and {peers:d} peers')
def all_ready(context, targets, peers):
    context.fleet.wait_ready()
    for entry in context.fleet.entries:
        fleet.until(
            lambda e=entry: (
                len(e.dump()['targets']) == targets
                and len(e.dump()['peers']) == peers
            ),
            'the entry knows all targets and peers',
        )


@behave.then('docs/schema holds the schemas that the program publishes')
def same_schemas(context):
    for name, value in schema.schemas_by_name().items():
        path = pathlib.Path('docs/schema', f'{name}.schema.json')
        assert json.loads(path.read_text()) == value, (
            f'run: kingcupfront schema {name} > {path}'
        )
