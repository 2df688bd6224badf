"""Rules that the objects of a set must keep together."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import typing

from kingcupfront_config import jsonc
from kingcupfront_config import object_files
from kingcupfront_config import objects
from kingcupfront_config import problem
from kingcupfront_core import registry

_PUBLISHED = '-'
_NO_TEXT = jsonc.Document(None, {(): 1})

# Fields that hold names: by kind, the field and the kind of what it names.
REFERENCES_BY_KIND = {
    'place': {'latency_seconds_by_place': 'place'},
    'model': {'store': 'store'},
    'service': {'model': 'model', 'policy': 'policy'},
    'team': {'services': 'service'},
    'policy': {'based_on': 'policy'},
}


class Parsed(typing.NamedTuple):
    """An object of a file and what it was validated to.

    :param entry: the object as it stands in the file.
    :param item: the validated object, or None if it is not valid.
    """

    entry: object_files.Entry
    item: typing.Any


@dataclasses.dataclass(frozen=True)
class Rules:
    """What a rule looks at.

    :param parsed: all objects, in the order of the files.
    :param routings: the known routing policies; empty if not known.
    """

    parsed: tuple[Parsed, ...]
    routings: frozenset[str] = frozenset()
    by_name_by_kind: dict[str, dict[str, Parsed]] = dataclasses.field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        for row in self.parsed:
            names = self.by_name_by_kind.setdefault(row.entry.kind, {})
            names.setdefault(row.entry.name, row)

    def names(self, kind: str) -> dict[str, Parsed]:
        """Return the objects of a kind by their name, valid or not."""
        return self.by_name_by_kind.get(kind, {})

    def valid(self, kind: str) -> Iterator[Parsed]:
        """Yield the valid objects of a kind."""
        for row in self.parsed:
            if row.entry.kind == kind and row.item is not None:
                yield row


Rule = Callable[[Rules], Iterator[problem.Problem]]
references: registry.Registry[Rule] = registry.Registry('reference rule')
limits: registry.Registry[Rule] = registry.Registry('limit rule')


def problems(
    parsed: Iterable[Parsed], routings: frozenset[str]
) -> list[problem.Problem]:
    """Return what breaks a rule.

    :param parsed: all objects.
    :param routings: the known routing policies; empty skips their check.
    """
    context = Rules(tuple(parsed), routings)
    rules = [references.get(name) for name in references]
    rules += [limits.get(name) for name in limits]
    return [found for rule in rules for found in rule(context)]


def reference_problems(
    items: Iterable[typing.Any],
) -> list[problem.Problem]:
    """Return which validated objects do not fit together.

    :param items: the objects of a published set.
    """
    parsed = []
    for index, item in enumerate(items):
        value = dict(item)
        place = (object_files.OBJECTS_FIELD, index)
        entry = object_files.Entry(_PUBLISHED, place, value, _NO_TEXT)
        parsed.append(Parsed(entry, item))
    context = Rules(tuple(parsed))
    rules = [references.get(name) for name in references]
    return [found for rule in rules for found in rule(context)]


@references.register('duplicate_name')
def _duplicate_names(context: Rules) -> Iterator[problem.Problem]:
    for row in context.parsed:
        entry = row.entry
        first = context.names(entry.kind)[entry.name].entry
        if first is not entry and entry.name:
            yield entry.problem(
                ('name',),
                'duplicate_name',
                f'a second {entry.kind} {entry.name!r}',
                f'the first is at {first.file}:{first.line(("name",))}',
            )


@references.register('dangling_name')
def _dangling_names(context: Rules) -> Iterator[problem.Problem]:
    for row in context.parsed:
        fields = REFERENCES_BY_KIND.get(row.entry.kind, {})
        for field, kind in fields.items():
            known = context.names(kind)
            for path, name in named(field, row.entry.value.get(field)):
                if name in known:
                    continue
                yield row.entry.problem(
                    path,
                    'dangling_name',
                    f'there is no {kind} {name!r}',
                    problem.did_you_mean(name, known),
                )


def named(field: str, value: typing.Any) -> Iterator[tuple[jsonc.Path, str]]:
    """Yield the path and text of each name in a field of any shape.

    :param field: the name of the field.
    :param value: its value as parsed, which may not be valid.
    """
    if isinstance(value, str):
        yield (field,), value
    elif isinstance(value, dict):
        yield from (((field, name), name) for name in value)
    elif isinstance(value, list | tuple):
        for index, name in enumerate(value):
            if isinstance(name, str):
                yield (field, index), name


@references.register('cycle')
def _cycles(context: Rules) -> Iterator[problem.Problem]:
    policies = context.names('policy')
    reported: set[str] = set()
    for name, row in policies.items():
        chain: list[str] = []
        current: typing.Any = name
        while current in policies and current not in chain:
            chain.append(current)
            current = policies[current].entry.value.get('based_on')
            if not isinstance(current, str):
                break
        if current == name and name not in reported:
            reported.update(chain)
            text = ' -> '.join([*chain, name])
            yield row.entry.problem(
                ('based_on',),
                'cycle',
                f'the policies are based on one another: {text}',
                'remove "based_on" from one of them',
            )


@references.register('duplicate_key')
def _duplicate_keys(context: Rules) -> Iterator[problem.Problem]:
    owners: dict[str, object_files.Entry] = {}
    for row in context.valid('team'):
        for index, known in enumerate(row.item.key_hashes):
            owner = owners.setdefault(known, row.entry)
            first = row.item.key_hashes.index(known)
            if owner is row.entry and first == index:
                continue
            yield row.entry.problem(
                ('key_hashes', index),
                'duplicate_key',
                f'team {owner.name!r} already has this key',
                'each team needs keys of its own',
            )


@references.register('service_model')
def _service_models(context: Rules) -> Iterator[problem.Problem]:
    for row in context.valid('service'):
        item: objects.Service = row.item
        if item.type == 'model' and item.model is None:
            yield row.entry.problem(
                ('type',),
                'missing_field',
                'a service of type "model" needs a model',
                problem.did_you_mean(item.name, context.names('model')),
            )
        if item.type == 'plain' and item.model is not None:
            yield row.entry.problem(
                ('model',),
                'impossible',
                'a service of type "plain" has no model',
                'remove the field or set the type to "model"',
            )
