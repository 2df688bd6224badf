"""Files of objects, read with the line of every field."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib
import typing

from kingcupfront_config import jsonc
from kingcupfront_config import objects
from kingcupfront_config import problem

SUFFIXES = ('.json', '.jsonc')
OBJECTS_FIELD = 'objects'
SET_FIELDS = frozenset(objects.ObjectSet.model_fields)


@dataclasses.dataclass(frozen=True)
class Entry:
    """One object as it stands in a file.

    :param file: the file.
    :param place: the object's path in the file.
    :param value: its fields, of plain Python types.
    :param document: the file's text, parsed.
    """

    file: str
    place: jsonc.Path
    value: dict[str, typing.Any]
    document: jsonc.Document

    @property
    def kind(self) -> str:
        """The object's kind, empty if it has none."""
        return str(self.value.get('kind', ''))

    @property
    def name(self) -> str:
        """The object's name, empty if it has none."""
        return str(self.value.get('name', ''))

    @property
    def damaged(self) -> bool:
        """Whether a syntax error inside it hides some of its fields."""
        return self.place in self.document.damaged

    def problem(
        self, path: jsonc.Path, code: str, message: str, hint: str = ''
    ) -> problem.Problem:
        """Return a problem with one of the object's fields.

        :param path: the field's path inside the object.
        :param code: what kind of error it is.
        :param message: what is wrong.
        :param hint: what may help.
        """
        label = f'{self.kind} {self.name}'.strip() or 'object'
        field = '.'.join(str(part) for part in path)
        where = f'{label}.{field}' if field else label
        return problem.Problem(
            self.file, self.line(path), where, code, message, hint
        )

    def line(self, path: jsonc.Path) -> int:
        """Return the line of a field, counted from 1.

        :param path: the path of the field inside the object.
        """
        full = (*self.place, *path)
        while full not in self.document.lines_by_path:
            full = full[:-1]
        return self.document.lines_by_path[full]


@dataclasses.dataclass(frozen=True)
class ObjectFiles:
    """What a set of files holds.

    :param entries: the objects, in the order of the files.
    :param problems: files and values that could not be read.
    """

    entries: tuple[Entry, ...]
    problems: tuple[problem.Problem, ...]


def read(paths: Iterable[pathlib.Path]) -> ObjectFiles:
    """Read the objects of files and folders.

    :param paths: files, and folders whose JSON files are read.
    """
    entries: list[Entry] = []
    problems: list[problem.Problem] = []
    for path in _files(paths):
        try:
            document = jsonc.parse(path.read_text(encoding='utf-8-sig'))
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, 'strerror', None) or 'not UTF-8 text'
            problems.append(
                problem.Problem(str(path), 1, '', 'unreadable', reason)
            )
            continue
        problems += [
            problem.Problem(str(path), item.line, '', 'syntax', item.message)
            for item in document.problems
        ]
        for found in _objects(str(path), document):
            if isinstance(found, Entry):
                entries.append(found)
            else:
                problems.append(found)
    return ObjectFiles(tuple(entries), tuple(problems))


def _files(paths: Iterable[pathlib.Path]) -> list[pathlib.Path]:
    found: dict[pathlib.Path, None] = {}
    for path in paths:
        if not path.is_dir():
            found[path] = None
            continue
        for item in sorted(path.rglob('*')):
            if item.suffix in SUFFIXES and item.is_file():
                found[item] = None
    return list(found)


def _objects(
    file: str, document: jsonc.Document
) -> Iterator[Entry | problem.Problem]:
    value = document.value
    if isinstance(value, dict) and OBJECTS_FIELD in value:
        yield from _unknown_set_fields(file, document, value)
        prefix: jsonc.Path = (OBJECTS_FIELD,)
        value = value[OBJECTS_FIELD]
    else:
        prefix = ()
    if isinstance(value, dict):
        yield Entry(file, prefix, value, document)
        return
    if not isinstance(value, list):
        if not document.problems:
            yield problem.Problem(
                file, 1, '', 'not_objects', 'expected a list of objects'
            )
        return
    for index, item in enumerate(value):
        path = (*prefix, index)
        if isinstance(item, dict):
            yield Entry(file, path, item, document)
        else:
            line = document.lines_by_path[path]
            yield problem.Problem(
                file, line, '', 'not_objects', 'expected an object'
            )


def _unknown_set_fields(
    file: str, document: jsonc.Document, value: dict[str, typing.Any]
) -> Iterator[problem.Problem]:
    for name in value:
        if name not in SET_FIELDS:
            yield problem.Problem(
                file,
                document.lines_by_path[name,],
                name,
                'unknown_field',
                f'a set has no field {name!r}',
                problem.did_you_mean(name, SET_FIELDS),
            )
