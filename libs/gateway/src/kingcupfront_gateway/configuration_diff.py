"""What changes between two configurations."""

from collections.abc import Iterator
import dataclasses
import hashlib
import typing

from kingcupfront_gateway import configuration_draft

HASH_CHARACTERS = 8
ADDED = 'added'
REMOVED = 'removed'

Entry = tuple[str, str]


class Change(typing.NamedTuple):
    """One change of an entry.

    :param kind: the kind of the entry.
    :param name: its name.
    :param field: the field, empty if the whole entry came or went.
    :param before: the old value, empty if there was none.
    :param after: the new value, empty if there is none.
    """

    kind: str
    name: str
    field: str
    before: str
    after: str

    def __str__(self) -> str:
        label = f'{self.kind} {self.name}'.strip()
        if not self.field:
            return f'{label}: {self.after or self.before}'
        return f'{label}: {self.field}: {self.before} -> {self.after}'


def diff(
    before: configuration_draft.Draft, after: configuration_draft.Draft
) -> list[Change]:
    """Return what changes, in the order of kinds and names.

    :param before: the configuration in force.
    :param after: the configuration to be published.
    """
    old, new = _fields_by_entry(before), _fields_by_entry(after)
    changes: list[Change] = []
    for entry in sorted(old.keys() | new.keys()):
        if entry not in new:
            changes.append(Change(*entry, '', REMOVED, ''))
        elif entry not in old:
            changes.append(Change(*entry, '', '', ADDED))
        else:
            changes += _changed_fields(entry, old[entry], new[entry])
    return changes


def _changed_fields(
    entry: Entry, old: dict[str, str], new: dict[str, str]
) -> Iterator[Change]:
    for field in sorted(old.keys() | new.keys()):
        before, after = old.get(field, 'none'), new.get(field, 'none')
        if before != after:
            yield Change(*entry, field, before, after)


def _fields_by_entry(
    draft: configuration_draft.Draft,
) -> dict[Entry, dict[str, str]]:
    """Return each entry with its fields; of repeated ones, the last."""
    found = {('version', ''): {'number': str(draft.version)}}
    found['limits', ''] = _words(dataclasses.asdict(draft.limits))
    found['keys', ''] = {'used': _word(draft.teams is not None)}
    for route in draft.routes:
        fields = {f.name: getattr(route, f.name) for f in _fields(route)}
        fields['shares'] = [f'{s.service}={s.weight:g}' for s in route.shares]
        label = configuration_draft.route_label(route)
        found['route', label] = _words(fields)
    for service in draft.services:
        fields = dataclasses.asdict(service)
        engine = fields.pop('engine')
        found['service', service.name] = _words(fields | (engine or {}))
    for row in draft.teams or ():
        fields = dataclasses.asdict(row.team)
        fields['keys'] = sorted(_short_hash(key) for key in row.keys)
        found['team', row.team.name] = _words(fields)
    return found


def _fields(item: typing.Any) -> tuple[dataclasses.Field[typing.Any], ...]:
    return dataclasses.fields(item)


def _words(fields: dict[str, typing.Any]) -> dict[str, str]:
    return {name: _word(value) for name, value in fields.items()}


def _word(value: typing.Any) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, frozenset):
        value = sorted(value)
    if isinstance(value, list):
        return ', '.join(value) or 'none'
    return f'{value:g}' if isinstance(value, float) else str(value)


def _short_hash(key: str) -> str:
    """Return what tells a key from others without showing it."""
    return hashlib.sha256(key.encode()).hexdigest()[:HASH_CHARACTERS]
