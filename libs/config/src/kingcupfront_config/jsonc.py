"""JSON with comments, with the line of every value."""

import dataclasses
import json
import typing

import tree_sitter
import tree_sitter_json

from kingcupfront_config import errors

Path = tuple[str | int, ...]

_LANGUAGE = tree_sitter.Language(tree_sitter_json.language())


@dataclasses.dataclass(frozen=True)
class Document:
    """A parsed text.

    :param value: the value, of plain Python types.
    :param lines_by_path: the line of each value, counted from 1.
    """

    value: typing.Any
    lines_by_path: dict[Path, int]


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
    tree = tree_sitter.Parser(_LANGUAGE).parse(text.encode())
    problems: list[SyntaxProblem] = []
    lines: dict[Path, int] = {}
    root = tree.root_node
    values = [n for n in root.named_children if n.type != 'comment']
    if root.has_error:
        _collect_errors(root, problems)
    elif len(values) != 1:
        problems.append(SyntaxProblem(1, 'expected exactly one value'))
    if problems:
        raise JsonSyntaxError(problems)
    value = _value(values[0], (), lines, problems)
    if problems:
        raise JsonSyntaxError(problems)
    return Document(value, lines)


def _line(node: tree_sitter.Node) -> int:
    return node.start_point.row + 1


def _collect_errors(
    node: tree_sitter.Node, problems: list[SyntaxProblem]
) -> None:
    if node.is_missing:
        problems.append(SyntaxProblem(_line(node), f'missing {node.type!r}'))
        return
    if node.is_error:
        text = (node.text or b'').decode(errors='replace')[:40]
        problems.append(SyntaxProblem(_line(node), f'unexpected {text!r}'))
        return
    for child in node.children:
        _collect_errors(child, problems)


def _value(
    node: tree_sitter.Node,
    path: Path,
    lines: dict[Path, int],
    problems: list[SyntaxProblem],
) -> typing.Any:
    lines[path] = _line(node)
    members = [n for n in node.named_children if n.type != 'comment']
    if node.type == 'array':
        return [
            _value(item, (*path, index), lines, problems)
            for index, item in enumerate(members)
        ]
    if node.type != 'object':
        return _scalar(node, problems)
    result: dict[str, typing.Any] = {}
    for pair in members:
        key_node = pair.child_by_field_name('key')
        value_node = pair.child_by_field_name('value')
        if key_node is None or value_node is None:
            problems.append(SyntaxProblem(_line(pair), 'incomplete pair'))
            continue
        key = _scalar(key_node, problems)
        if key in result:
            problems.append(
                SyntaxProblem(_line(pair), f'duplicate name {key!r}')
            )
        result[key] = _value(value_node, (*path, key), lines, problems)
    return result


def _scalar(
    node: tree_sitter.Node, problems: list[SyntaxProblem]
) -> typing.Any:
    text = (node.text or b'').decode()
    try:
        return json.loads(text)
    except ValueError:
        problems.append(SyntaxProblem(_line(node), f'not JSON: {text[:40]!r}'))
        return None
