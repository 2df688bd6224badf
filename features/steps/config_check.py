"""Steps for the checks of objects."""

import hashlib
import json
import pathlib
import tempfile

import behave
import hypothesis
from hypothesis import strategies

from features.support import command
from kingcupfront_config import check
from kingcupfront_config import objects

KEY_HASH = hashlib.sha256(b'key').hexdigest()
ROUTINGS = ('random', 'least_outstanding', 'headroom_v9')
SOUND = [
    {'kind': 'place', 'name': 'east', 'region': 'r'},
    {
        'kind': 'place',
        'name': 'west',
        'region': 's',
        'latency_seconds_by_place': {'east': 0.012},
    },
    {'kind': 'model', 'name': 'large'},
    {'kind': 'policy', 'name': 'slow', 'first_token_seconds': 9},
    {
        'kind': 'service',
        'name': 'assistant',
        'type': 'model',
        'model': 'large',
    },
    {
        'kind': 'team',
        'name': 'north',
        'services': ['assistant'],
        'key_hashes': [KEY_HASH],
    },
]
PLANTED = """// Ten errors, one in each line.
{"kind": "place", "name": "west", "region": "s", "regiom": "s"},
{"kind": "modle", "name": "small"},
{"kind": "model", "name": "large"},
{"kind": "service", "name": "drafts", "type": "model", "model": "larg"},
{"kind": "service", "name": "desk", "type": "model"},
{"kind": "team", "name": "b", "services": ["desk", "drafts"],
  "key_hashes": ["%s"]},
{"kind": "policy", "name": "p", "based_on": "q"},
{"kind": "policy", "name": "q", "based_on": "p", "queue_limit": -1},
{"kind": "team", "name": "c", "services": ["desk"], "key_hashes": ["x"]},
{"kind": "place", "name": "south", "region": "s", }
"""
PLANTED_CODES = [
    (2, 'unknown_field'),
    (3, 'unknown_kind'),
    (4, 'duplicate_name'),
    (5, 'dangling_name'),
    (6, 'missing_field'),
    (8, 'duplicate_key'),
    (9, 'cycle'),
    (10, 'bad_value'),
    (11, 'bad_value'),
    (12, 'syntax'),
]


def folder(context):
    found = tempfile.TemporaryDirectory()
    context.stack.callback(found.cleanup)
    return pathlib.Path(found.name)


def run_check(context):
    return check.check([context.folder], ROUTINGS).problems


@behave.given('a sound set of objects in files')
def sound_set(context):
    context.folder = folder(context)
    (context.folder / 'base.json').write_text(json.dumps(SOUND))
    assert not run_check(context), run_check(context)


@behave.when('the object file gets the line {text}')
def add_line(context, text):
    text = text.replace('HASH', KEY_HASH)
    (context.folder / 'tested.json').write_text(f'// Tested:\n[{text}]\n')


@behave.when(
    'the object file gets a model with a version of {n:d} million characters'
)
def add_large(context, n):
    row = {'kind': 'model', 'name': 'b', 'version': 'x' * n * 1_000_000}
    (context.folder / 'tested.json').write_text(json.dumps([row]))


@behave.given('an object file of the bytes {data}')
def raw_file(context, data):
    context.folder = folder(context)
    (context.folder / 'raw.json').write_bytes(
        bytes.fromhex(data.replace("-", ""))
    )


@behave.then('the check finds {code} in line {line:d} at {path}')
def finds(context, code, line, path):
    found = run_check(context)
    path = '' if path == '-' else path
    context.found = [
        p for p in found if (p.code, p.line, p.path) == (code, line, path)
    ]
    assert context.found, '\n'.join(map(str, found))
    assert context.found[0].file.startswith(str(context.folder))


@behave.then('the hint of the check holds "{hint}"')
@behave.then('the hint of the check holds ""')
def hints(context, hint=''):
    assert hint in context.found[0].hint, context.found


@behave.given('a set of objects with ten planted errors')
def planted(context):
    context.folder = folder(context)
    (context.folder / 'base.json').write_text(
        json.dumps(SOUND[:1] + SOUND[2:])
    )
    text = PLANTED % KEY_HASH
    lines = text.splitlines()
    text = '\n'.join([lines[0] + '\n[' + lines[1], *lines[2:], ']'])
    text = text.replace(lines[0] + '\n[', '[ ' + lines[0] + '\n')
    (context.folder / 'planted.jsonc').write_text(text)


@behave.when('the check command runs on the set')
def run_command(context):
    context.result = command.run('check', context.folder, '--format', 'json')


@behave.then('it ends with {code:d} and names each of the ten in its line')
def ten_found(context, code):
    assert context.result.code == code, context.result.output
    errors = json.loads(context.result.stdout)['errors']
    found = [(e['line'], e['code']) for e in errors]
    missing = [item for item in PLANTED_CODES if item not in found]
    assert not missing, (missing, found)


@behave.given('a cycle of {count:d} policies')
def make_cycle(context, count):
    context.folder = folder(context)
    rows = [
        {'kind': 'policy', 'name': f'p{n}', 'based_on': f'p{(n + 1) % count}'}
        for n in range(count)
    ]
    (context.folder / 'base.json').write_text(json.dumps(SOUND + rows))


@behave.then('the check finds the cycle once')
def one_cycle(context):
    found = [p.code for p in run_check(context)]
    assert found == ['cycle'], found


@behave.then('{count:d} random texts each give a report')
def random_texts(context, count):
    context.folder = folder(context)
    path = context.folder / 'random.json'
    value = strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.floats()
        | strategies.integers()
        | strategies.text()
        | strategies.sampled_from(['team', 'service', 'policy', 'p']),
        lambda inner: (
            strategies.lists(inner)
            | strategies.dictionaries(
                strategies.sampled_from(
                    ['kind', 'name', 'based_on', 'services', 'actions']
                ),
                inner,
            )
        ),
    )
    texts = (
        strategies.text()
        | value.map(json.dumps)
        | strategies.lists(value).map(json.dumps).map(lambda t: t[:-2])
    )

    @hypothesis.settings(
        max_examples=count, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(texts)
    def reports(text):
        path.write_text(text, encoding='utf-8', errors='surrogatepass')
        result = check.check([context.folder], ROUTINGS)
        assert result.objects or result.problems

    reports()
    path.write_text('[' * 100_000)
    assert run_check(context)


@behave.then('a set with {fault} is refused for {code}')
def refused(context, fault, code):
    extra = {
        'a dangling name': [{'kind': 'model', 'name': 'm', 'store': 'x'}],
        'a double name': [{'kind': 'model', 'name': 'large'}],
        'a cycle': [{'kind': 'policy', 'name': 'p', 'based_on': 'p'}],
        'a key of two teams': [
            {'kind': 'team', 'name': 'b', 'key_hashes': [KEY_HASH]}
        ],
    }
    check.require_sound(published(SOUND))
    try:
        check.require_sound(published(SOUND + extra[fault]))
    except check.RefusedSetError as error:
        assert [p.code for p in error.problems] == [code], error
    else:
        raise AssertionError('the set was not refused')


def published(rows):
    value = {'revision': 1, 'based_on': 0, 'objects': rows}
    return objects.ObjectSet.model_validate(value)
