"""Steps for the check of a configuration before it is published."""

import hashlib
import json
import pathlib
import shutil
import tempfile

import behave
import pydantic

from features.support import command
from features.support import platform_store
from kingcupfront_cli import configurations  # noqa: F401 - fills the registry
from kingcupfront_core import address
from kingcupfront_gateway import configuration_diff
from kingcupfront_gateway import configuration_draft
from kingcupfront_gateway import configuration_rules
from kingcupfront_gateway import objects
from kingcupfront_platform import configuration

KEYS = ('key-north', 'key-south', 'key-west')
SOUND = {
    'version': 8,
    'routes': [
        {
            'name': 'answers',
            'host': 'site.example',
            'prefix': '/answers/',
            'route_type': 'idempotent',
            'timeout_ms': 4000,
            'max_attempts': 2,
            'service': 'desk',
        },
        {
            'name': 'drafts',
            'host': 'site.example',
            'prefix': '/drafts/',
            'route_type': 'streaming',
            'stream_resume': True,
            'timeout_ms': 4000,
            'max_attempts': 2,
            'backends': [
                {'service': 'desk', 'weight': 9},
                {'service': 'lab', 'weight': 1},
            ],
        },
        {
            'name': 'open',
            'host': 'site.example',
            'prefix': '/open/',
            'route_type': 'non_idempotent',
            'timeout_ms': 4000,
            'service': 'desk',
            'public': True,
        },
    ],
    'services': [
        {'name': 'desk'},
        {'name': 'lab', 'engine': {'slots': 8, 'kv_capacity': 9000}},
    ],
    'tenants': [
        {'name': 'north', 'api_keys': ['key-north'], 'priority': 0},
        {'name': 'south', 'api_keys': ['key-south'], 'priority': 1},
    ],
    'limits': {},
}
ZONES = {'a': 'east', 'b': 'west', 'c': 'north'}
SETTINGS = """
node_name = "edge-1"
zone = "a"
ip = "127.0.0.1"
[zones]
a = "east"
b = "west"
c = "north"
[listen]
frontend = "127.0.0.1:8740"
readiness = "127.0.0.1:8749"
[platform]
address = "127.0.0.1:8742"
"""
# Findings that follow from the one of a row.
IMPLIED = {
    'unknown_service': {'unused_service'},
    'duplicate_service': {'unknown_service'},
    'no_common_region': {'region_without_zone'},
    'service_without_target': {'unused_service'},
}
TARGETS = {'d1': ('desk', 'a'), 'd2': ('desk', 'b'), 'l1': ('lab', 'a')}


def _sound():
    return json.loads(json.dumps(SOUND))


@behave.given('a sound configuration of the platform')
def sound(context):
    context.value = _sound()
    context.old = _sound() | {'version': 7}
    context.around = configuration_draft.Surroundings(
        ZONES,
        tuple(
            objects.Target(
                name, service, address.Address('127.0.0.1', 1), zone, 1
            )
            for name, (service, zone) in TARGETS.items()
        ),
        configuration.read_draft(_text(context.old)),
    )


@behave.given('neither settings nor a store')
def no_surroundings(context):
    context.around = configuration_draft.Surroundings()


@behave.when('{path} of the configuration becomes {value}')
def edit(context, path, value):
    *parents, last = [
        int(part) if part.isdigit() else part for part in path.split('.')
    ]
    owner = context.value
    for part in parents:
        owner = owner[part]
    if isinstance(owner, list) and last == len(owner):
        owner.append(None)
    owner[last] = json.loads(value)


def _text(value):
    return json.dumps(value).encode()


def _findings(context):
    draft = configuration.read_draft(_text(context.value))
    return configuration_rules.find(draft, context.around)


@behave.then('the check finds just "{code}" at "{subject}"')
def finds(context, code, subject):
    found = _findings(context)
    assert (subject, code) in [(f.subject, f.code) for f in found], found
    assert {f.code for f in found} <= {code} | IMPLIED.get(code, set()), found


@behave.then('the check finds nothing')
def finds_nothing(context):
    found = _findings(context)
    assert not found, found


@behave.then('the check and the load both find it invalid at "{subject}"')
def both_invalid(context, subject):
    text = _text(context.value)
    try:
        configuration.read(text)
    except pydantic.ValidationError as error:
        paths = ['.'.join(map(str, e['loc'])) for e in error.errors()]
    try:
        configuration.read_draft(text)
    except configuration_draft.InvalidConfigurationError as error:
        context.report = str(error)
        assert [path for path, _ in error.problems] == paths == [subject]
    else:
        raise AssertionError('the check found nothing')


@behave.then('no key stands in the report')
def no_key(context):
    text = getattr(context, 'report', '')
    if hasattr(context, 'result'):
        text += context.result.output
    assert text
    assert not any(key in text for key in KEYS), text


@behave.then('the check names as not applied')
def names_skipped(context):
    found = configuration_rules.skipped(context.around)
    assert found == [row['code'] for row in context.table], found


@behave.then('the differences are "{changes}"')
def differences(context, changes):
    draft = configuration.read_draft(_text(context.value))
    found = configuration_diff.diff(context.around.in_force, draft)
    context.report = '; '.join(
        str(item) for item in found if item.kind != 'version'
    )
    for key in KEYS:
        digest = hashlib.sha256(key.encode()).hexdigest()[:8]
        context.report = context.report.replace(digest, f'<{key[4:]}>')
    assert context.report == changes, context.report


@behave.given("the platform's store holds version 7 and the targets")
def store(context):
    held = platform_store.Store()
    context.store_address = held.serve(context.stack)
    held.put('op/config', context.old)
    for name, (service, zone) in TARGETS.items():
        entry = {
            'service': service,
            'address': '127.0.0.1:1',
            'zone': zone,
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'warmup_left_ms': 0,
            'sequence': 4,
            'born': 1,
        }
        held.put(f'servers/{name}', entry)


@behave.when('the command {line} runs on the configuration')
def run_on(context, line):
    folder = pathlib.Path(tempfile.mkdtemp())
    context.stack.callback(shutil.rmtree, folder)
    texts = {
        'NEW': json.dumps(context.value),
        'OLD': json.dumps(context.old),
        'BROKEN': '{"version": []}',
        'SETTINGS': SETTINGS,
    }
    words = {'STORE': context.store_address}
    for name, text in texts.items():
        (folder / name).write_text(text)
        words[name] = str(folder / name)
    context.result = command.run(*(words.get(w, w) for w in line.split()))
