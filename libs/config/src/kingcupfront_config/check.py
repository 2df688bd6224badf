"""Checks of a whole set of objects, with every error at once."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib
import typing

import pydantic

from kingcupfront_config import errors
from kingcupfront_config import limits  # noqa: F401 - fills the registry
from kingcupfront_config import object_files
from kingcupfront_config import objects
from kingcupfront_config import problem
from kingcupfront_config import rules

KINDS = tuple(objects.CLASSES_BY_KIND)


@dataclasses.dataclass(frozen=True)
class Check:
    """The result of a check.

    :param objects: the objects that are valid by themselves.
    :param problems: all that is wrong, by file and line.
    """

    objects: tuple[typing.Any, ...]
    problems: tuple[problem.Problem, ...]


class RefusedSetError(errors.ConfigError):
    """A set of objects that must not come into force.

    :param problems: all that is wrong with it.
    """

    code = 'bad_objects'

    def __init__(self, problems: tuple[problem.Problem, ...]) -> None:
        self.problems = problems
        super().__init__('\n'.join(str(item) for item in problems))


def check(
    paths: Iterable[pathlib.Path], routings: Iterable[str] = ()
) -> Check:
    """Check the objects of files and folders.

    :param paths: files, and folders whose JSON files are read.
    :param routings: the known routing policies; empty skips their check.
    """
    files = object_files.read(paths)
    problems = list(files.problems)
    parsed: list[rules.Parsed] = []
    for entry in files.entries:
        item, found = _parse(entry)
        problems += found
        parsed.append(rules.Parsed(entry, item))
    problems += rules.problems(parsed, frozenset(routings))
    if not files.entries and not problems:
        problems.append(
            problem.Problem('-', 1, '', 'empty', 'no objects were found')
        )
    ordered = sorted(set(problems))
    return Check(
        tuple(p.item for p in parsed if p.item is not None), tuple(ordered)
    )


def require_sound(current: objects.ObjectSet) -> None:
    """Refuse a published set whose objects do not fit together.

    :param current: the set.
    :raises RefusedSetError: if a name is double or dangling, policies form
        a cycle, or two teams share a key.
    """
    found = rules.reference_problems(current.objects)
    if found:
        raise RefusedSetError(tuple(found))


def _parse(
    entry: object_files.Entry,
) -> tuple[typing.Any, list[problem.Problem]]:
    kind = entry.value.get('kind')
    if entry.damaged:
        return None, []
    if not isinstance(kind, str) or kind not in KINDS:
        code = 'missing_field' if kind is None else 'unknown_kind'
        message = f'no such kind: {kind!r}' if kind else 'no field "kind"'
        hint = problem.did_you_mean(kind or '', KINDS)
        return None, [entry.problem(('kind',), code, message, hint)]
    try:
        return objects.CLASSES_BY_KIND[kind].model_validate(entry.value), []
    except pydantic.ValidationError as error:
        return None, list(_field_problems(entry, error))


def _field_problems(
    entry: object_files.Entry, error: pydantic.ValidationError
) -> Iterator[problem.Problem]:
    for item in error.errors(include_url=False):
        path = tuple(item['loc'])
        known = _fields(entry.kind, path[:-1])
        if item['type'] == 'extra_forbidden':
            hint = problem.did_you_mean(path[-1], known)
            message = f'no such field: {path[-1]!r}'
            yield entry.problem(path, 'unknown_field', message, hint)
        elif item['type'] == 'missing':
            message = f'the field {path[-1]!r} is missing'
            yield entry.problem(path, 'missing_field', message)
        else:
            yield entry.problem(path, 'bad_value', item['msg'], _hint(item))


def _fields(kind: str, path: tuple[typing.Any, ...]) -> list[str]:
    if path[:1] == ('actions',):
        return list(objects.Action.model_fields)
    return list(objects.CLASSES_BY_KIND[kind].model_fields)


def _hint(item: typing.Any) -> str:
    pattern = item.get('ctx', {}).get('pattern')
    if pattern == objects.NAME_PATTERN:
        return 'a name has small letters, digits and hyphens, a letter first'
    if pattern == objects.KEY_HASH_PATTERN:
        return 'kingcupfront key makes a key and its hash'
    if item['type'] == 'literal_error' and isinstance(item['input'], str):
        choices = item['ctx']['expected'].replace("'", '')
        names = choices.replace(' or ', ', ').split(', ')
        return problem.did_you_mean(item['input'], names)
    return ''
