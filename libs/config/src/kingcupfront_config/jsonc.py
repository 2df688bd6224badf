"""JSON with comments, with the line of every value."""

import dataclasses
import json
import math
import typing

import tree_sitter
import tree_sitter_json

from kingcupfront_config import errors

MAX_DEPTH = 64
SHOWN_CHARACTERS = 40

Path = tuple[str | int, ...]

_LANGUAGE = tree_sitter.Language(tree_sitter_json.language())


@dataclasses.dataclass(frozen=True)
class Document:
    """A parsed text.

    :param value: the value, of plain Python types.
    :param lines_by_path: the line of each value, counted from 1.
    :param problems: where the text is not JSON; the value then lacks them.
    :param damaged: the paths of the values that hold a problem.
    """

    value: typing.Any
    lines_by_path: dict[Path, int]
    problems: tuple['SyntaxProblem', ...] = ()
    damaged: frozenset[Path] = frozenset()


class SyntaxProblem(typing.NamedTuple):
    """One place where a text is not JSON.

    :param line: the line, counted from 1.
    :param message: what is wrong.
    """

    line: int
    message: str


class JsonSyntaxError(errors.ConfigError):
    """A text that is not JSON with comments.

    :param problems: every problem that was found.
    """

    code = 'bad_syntax'

    def __init__(self, problems: list[SyntaxProblem]) -> None:
        self.problems = problems
        first = problems[0]
        super().__init__(f'line {first.line}: {first.message}')


def loads(text: str) -> Document:
    """Parse a text.

    :param text: JSON, with ``//`` and ``/* */`` comments.
    :raises JsonSyntaxError: if it is not; it names every problem.
    """
    document = parse(text)
    if document.problems:
        raise JsonSyntaxError(list(document.problems))
    return document


def parse(text: str) -> Document:
    """Parse a text as far as it can be understood.

    :param text: JSON, with ``//`` and ``/* */`` comments.
    :returns: what could be read, and every problem.
    """
    source = text.encode(errors='replace')
    reader = _Reader()
    root = tree_sitter.Parser(_LANGUAGE).parse(source).root_node
    if root.has_error:
        _collect_errors(root, reader.problems)
    values = _members(root)
    if len(values) != 1 and not reader.problems:
        reader.report(root, 'expected exactly one value')
    value = reader.read(values[0], ()) if values else None
    problems = sorted(set(reader.problems))
    return Document(
        value, reader.lines, tuple(problems), frozenset(reader.damaged)
    )


def _line(node: tree_sitter.Node) -> int:
    return node.start_point.row + 1


def _members(node: tree_sitter.Node) -> list[tree_sitter.Node]:
    skipped = ('comment', 'ERROR')
    return [n for n in node.named_children if n.type not in skipped]


def _collect_errors(
    root: tree_sitter.Node, problems: list[SyntaxProblem]
) -> None:
    nodes = [root]
    while nodes:
        node = nodes.pop()
        if node.is_missing:
            problems.append(
                SyntaxProblem(_line(node), f'missing {node.type!r}')
            )
        elif node.is_error:
            text = (node.text or b'').decode(errors='replace')
            shown = text[:SHOWN_CHARACTERS]
            problems.append(
                SyntaxProblem(_line(node), f'unexpected {shown!r}')
            )
        elif node.has_error:
            nodes.extend(node.children)


class _Reader:
    """Turns the nodes of one tree into values."""

    def __init__(self) -> None:
        self.lines: dict[Path, int] = {}
        self.problems: list[SyntaxProblem] = []
        self.damaged: set[Path] = set()

    def report(self, node: tree_sitter.Node, message: str) -> None:
        self.problems.append(SyntaxProblem(_line(node), message))

    def read(self, node: tree_sitter.Node, path: Path) -> typing.Any:
        self.lines[path] = _line(node)
        if node.has_error:
            self.damaged.add(path)
        if len(path) > MAX_DEPTH:
            self.report(node, f'nested deeper than {MAX_DEPTH} levels')
            return None
        if node.type == 'array':
            return [
                self.read(item, (*path, index))
                for index, item in enumerate(_members(node))
            ]
        if node.type == 'object':
            return self._object(node, path)
        return self._scalar(node)

    def _object(
        self, node: tree_sitter.Node, path: Path
    ) -> dict[str, typing.Any]:
        result: dict[str, typing.Any] = {}
        for pair in _members(node):
            key_node = pair.child_by_field_name('key')
            value_node = pair.child_by_field_name('value')
            if key_node is None or value_node is None:
                self.report(pair, 'incomplete pair')
                continue
            key = self._scalar(key_node)
            if not isinstance(key, str):
                self.report(pair, 'the name of a field is not a string')
                continue
            if key in result:
                self.report(pair, f'duplicate name {key!r}')
                self.damaged.add(path)
            result[key] = self.read(value_node, (*path, key))
        return result

    def _scalar(self, node: tree_sitter.Node) -> typing.Any:
        text = (node.text or b'').decode(errors='replace')
        shown = text[:SHOWN_CHARACTERS]
        try:
            value = json.loads(text)
        except (ValueError, RecursionError):
            self.report(node, f'not JSON: {shown!r}')
            return None
        if isinstance(value, float) and not math.isfinite(value):
            self.report(node, f'not a finite number: {shown!r}')
            return None
        if isinstance(value, str) and not _is_unicode(value):
            self.report(node, f'half of a surrogate pair: {shown!r}')
            return None
        return value


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
