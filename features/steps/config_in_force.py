"""Steps for the set in force in one process."""

import json
import random

import behave

from kingcupfront_config import delta
from kingcupfront_config import errors
from kingcupfront_config import in_force
from kingcupfront_config import lineage
from kingcupfront_config import manifest


def published(chain, with_history=True):
    """Return the JSON of a set such as 7a<6a<5a."""
    names = chain.split('<')
    rows = [(int(n[:-1]), n[-1]) for n in names]
    data = b''
    for index in reversed(range(len(rows))):
        revision, letter = rows[index]
        below = [r for r, _ in rows[index + 1 :] if r < revision]
        value = {
            'revision': revision,
            'based_on': max(below, default=0),
            'objects': [{'kind': 'model', 'name': f'model-{letter}'}],
        }
        if with_history and index + 1 < len(rows):
            value['history'] = [
                {'revision': r, 'digest': digest_of('<'.join(names[n:]))}
                for n, (r, _) in enumerate(rows)
                if n > index
            ]
        data = json.dumps(value).encode()
    return data


def digest_of(chain):
    """Return the digest of the first of a chain; its rivals don't count."""
    first, *rest = chain.split('<')
    parents = [name for name in rest if name[:-1] != first[:-1]]
    data = published('<'.join([first, *parents]))
    return lineage.digest(lineage.canonical(json.loads(data)))


@behave.given('the set {held} is in force {how} histories')
def held_set(context, held, how):
    context.with_history = how == 'with'
    context.in_force = in_force.InForce()
    if held != 'none':
        assert context.in_force.offer(published(held, context.with_history))


@behave.when('the set {chain} is offered')
def offer_set(context, chain):
    context.in_force.offer(published(chain, context.with_history))


@behave.then('the set {name} is in force and the refusal says "{reason}"')
def check_reason(context, name, reason):
    check_name(context.in_force, name)
    refusal = context.in_force.refusal
    assert refusal and reason in refusal.reason, refusal


@behave.then('the set {name} is in force and the refusal says ""')
def check_no_reason(context, name):
    check_name(context.in_force, name)
    assert context.in_force.refusal is None, context.in_force.refusal


def check_name(held, name):
    model = held.current.objects[0].name
    assert f'{held.revision}{model[-1]}' == name, (held.revision, model)


def broken(**changes):
    value = json.loads(published('6a<5a')) | changes
    return json.dumps(value).encode()


SERVICE = {'kind': 'service', 'name': 's', 'type': 'model', 'model': 'gone'}
SETS_BY_FAULT = {
    'is not JSON': lambda: b'{',
    'is nested 100000 deep': lambda: b'[' * 100000,
    'is a list': lambda: b'[]',
    'has an unknown field': lambda: broken(colour='red'),
    'names a missing model': lambda: broken(objects=[SERVICE]),
    'holds NaN': lambda: broken(revision=float('nan')),
    'is based on itself': lambda: broken(based_on=6),
    'has a history from nowhere': lambda: broken(based_on=4),
}


@behave.when('a set that {fault} is offered')
def offer_broken(context, fault):
    assert not context.in_force.offer(SETS_BY_FAULT[fault]())


@behave.given('two processes with the sets {one} and {two} in force')
def rivals(context, one, two):
    context.both = [in_force.InForce(), in_force.InForce()]
    for held, chain in zip(context.both, (one, two), strict=True):
        assert held.offer(published('5a')) and held.offer(published(chain))
        assert held.offer(published(chain)) is False


@behave.when('the set {chain} is offered to both')
def offer_both(context, chain):
    for held in context.both:
        assert held.offer(published(chain)), held.refusal


@behave.then('the set {name} is in force in both')
def both_in_force(context, name):
    for held in context.both:
        check_name(held, name)


@behave.given('a set of {size:d} bytes that is split behind a manifest')
def split_set(context, size):
    value = json.loads(published('5a'))
    rng = random.Random(3)
    while len(value['objects']) * 100 < size:
        name = f'm{len(value["objects"])}'
        row = {
            'kind': 'model',
            'name': name,
            'version': rng.randbytes(30).hex(),
        }
        value['objects'].append(row)
    context.data = json.dumps(value).encode()
    assert len(context.data) > size, len(context.data)
    context.values = manifest.split('objects', context.data)
    assert max(map(len, context.values.values())) < 1_000_000
    assert list(context.values)[-1] == 'objects'


@behave.when('the manifest is read while {fault}')
def read_manifest(context, fault):
    part = next(iter(context.values))
    value = context.values['objects']
    if fault == 'a part is missing':
        del context.values[part]
    elif fault == 'a part has other content':
        context.values[part] = b'x'
    elif fault == 'the manifest is damaged':
        value = value[:-9]
    context.error = context.read = None
    try:
        context.read = manifest.assemble(value, context.values.get)
    except (errors.SourceError, errors.ConfigError) as error:
        context.error = error


@behave.then('the whole set is read')
def whole(context):
    assert context.read == context.data
    assert in_force.InForce().offer(context.read)


@behave.then('the set is refused as not there')
def not_there(context):
    assert isinstance(context.error, errors.SourceError), context.error


@behave.then('the set is refused as broken')
def refused_broken(context):
    assert isinstance(context.error, errors.ConfigError), context.error


def random_set(rng):
    objects = [
        {'kind': kind, 'name': f'n{n}', 'version': rng.randrange(3)}
        for n in rng.sample(range(30), rng.randrange(30))
        for kind in ('model', 'place')
    ]
    rng.shuffle(objects)
    return lineage.canonical({'revision': rng.random(), 'objects': objects})


@behave.when('changes between {count:d} random pairs of sets are sent')
def send_changes(context, count):
    rng = random.Random(11)
    context.pairs = []
    for _ in range(count):
        before, after = random_set(rng), random_set(rng)
        change = delta.encode(before, after)
        context.pairs.append((delta.apply(before, change), after))


@behave.then('each leads from the first set to the second')
def changes_lead(context):
    assert context.pairs
    for got, wanted in context.pairs:
        assert got == wanted
