"""What changes between two sets of objects, and what to expect of it."""

from collections.abc import Iterable
from collections.abc import Iterator
import typing

SHOWN_CHARACTERS = 60
HASH_CHARACTERS = 8

EFFECTS_BY_KIND = {
    'place': 'requests may take other ways between places',
    'store': 'loads that have not begun keep to the new rate',
    'model': 'engines get orders to load it; requests in progress go on',
    'service': 'new requests follow it; requests in progress go on',
    'team': 'new requests of the team follow it',
    'policy': 'new requests of the services that use it follow it',
}
EFFECTS_BY_FIELD = {
    ('model', 'version'): (
        'engines load the new weights one after the other; until then '
        'they serve the old version'
    ),
    ('team', 'key_hashes'): (
        'a removed key is refused within seconds; streams that have begun '
        'go on, but cannot be resumed with it'
    ),
    ('team', 'services'): (
        'requests for a removed service are refused within seconds'
    ),
    ('service', 'type'): 'check every caller: another API serves it now',
    ('service', 'model'): 'requests are answered by another model',
    ('service', 'checks_fencing'): (
        'if true is wrong, an old order may be carried out after a new one'
    ),
    ('service', 'actions'): (
        'an action that becomes repeatable may run more than once'
    ),
    ('service', 'engines_by_role'): (
        'engines are drained one after the other before their role changes'
    ),
    ('policy', 'routing'): 'routing starts without what it had learnt',
    ('policy', 'queue_limit'): 'a lower limit refuses requests sooner',
}
REMOVED_EFFECTS_BY_KIND = {
    'service': 'new requests for it are refused; requests in progress go on',
    'team': 'its requests are refused; streams that have begun go on',
    'model': 'engines may unload it',
}


class Change(typing.NamedTuple):
    """One change of an object.

    :param kind: the object's kind.
    :param name: the object's name.
    :param field: the field, empty if the whole object came or went.
    :param before: the old value in words, empty if there was none.
    :param after: the new value in words, empty if there is none.
    :param effect: what operators should expect.
    """

    kind: str
    name: str
    field: str
    before: str
    after: str
    effect: str

    def __str__(self) -> str:
        label = f'{self.kind} {self.name}'
        if self.field:
            text = f'{label}: {self.field}: {self.before} -> {self.after}'
        else:
            text = f'{label}: {self.after or self.before}'
        return f'{text}\n    expect: {self.effect}'


def diff(
    before: Iterable[typing.Any], after: Iterable[typing.Any]
) -> list[Change]:
    """Return what changes from one set of objects to another.

    :param before: the objects of the first set.
    :param after: the objects of the second set.
    """
    old = {(item.kind, item.name): item for item in before}
    new = {(item.kind, item.name): item for item in after}
    changes: list[Change] = []
    for key in sorted(old.keys() | new.keys()):
        kind, name = key
        if key not in new:
            effect = REMOVED_EFFECTS_BY_KIND.get(kind, EFFECTS_BY_KIND[kind])
            changes.append(Change(kind, name, '', 'removed', '', effect))
        elif key not in old:
            effect = EFFECTS_BY_KIND[kind]
            changes.append(Change(kind, name, '', '', 'added', effect))
        else:
            changes += _fields(old[key], new[key])
    return changes


def _fields(old: typing.Any, new: typing.Any) -> Iterator[Change]:
    for field in type(new).model_fields:
        before, after = getattr(old, field), getattr(new, field)
        if before == after:
            continue
        effect = EFFECTS_BY_FIELD.get(
            (new.kind, field), EFFECTS_BY_KIND[new.kind]
        )
        yield Change(
            new.kind,
            new.name,
            field,
            _words(field, before),
            _words(field, after),
            effect,
        )


def _words(field: str, value: typing.Any) -> str:
    if value is None:
        return 'none'
    if field == 'key_hashes':
        return ', '.join(f'{item[:HASH_CHARACTERS]}...' for item in value)
    if isinstance(value, tuple):
        text = ', '.join(str(item) for item in value) or 'none'
    elif isinstance(value, dict):
        text = ', '.join(f'{k}={v}' for k, v in value.items()) or 'none'
    else:
        text = str(value)
    if len(text) > SHOWN_CHARACTERS:
        return text[: SHOWN_CHARACTERS - 3] + '...'
    return text
