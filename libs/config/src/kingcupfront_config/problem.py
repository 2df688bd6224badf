"""One thing that is wrong with a set of objects."""

from collections.abc import Iterable
import difflib
import typing

HINT_CUTOFF = 0.6
MAX_LISTED_NAMES = 12


class Problem(typing.NamedTuple):
    """An error that keeps a set from being published.

    :param file: the file that holds it.
    :param line: the line, counted from 1.
    :param path: the object and the field, such as ``team north.services.0``.
    :param code: what kind of error it is.
    :param message: what is wrong, in one sentence.
    :param hint: what may help, empty if nothing is known.
    """

    file: str
    line: int
    path: str
    code: str
    message: str
    hint: str = ''

    def __str__(self) -> str:
        where = f'{self.file}:{self.line}: '
        if self.path:
            where += f'{self.path}: '
        text = f'{where}{self.message} [{self.code}]'
        return f'{text}\n    hint: {self.hint}' if self.hint else text


def did_you_mean(name: typing.Any, known: Iterable[str]) -> str:
    """Return a hint that names the closest known name.

    :param name: the name that is not known.
    :param known: the names that are.
    :returns: the hint, or the known names if none is close.
    """
    names = sorted(known)
    close = difflib.get_close_matches(str(name), names, 1, HINT_CUTOFF)
    if close:
        return f'did you mean {close[0]!r}?'
    return (
        f'known: {", ".join(names)}'
        if 0 < len(names) <= MAX_LISTED_NAMES
        else ''
    )
