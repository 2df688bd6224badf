"""Bounded pages of rows for the administration API."""

from collections.abc import Iterable
import dataclasses
import typing

from kingcupfront_core import errors

DEFAULT_ROWS = 100
MAX_ROWS = 1000


@dataclasses.dataclass(frozen=True)
class Page:
    """Which rows to show.

    :param after: the key of the last row that was seen, empty for the
        first page.
    :param limit: bound on the number of rows.
    """

    after: str = ''
    limit: int = DEFAULT_ROWS

    @classmethod
    def parse(cls, after: str, limit: str) -> 'Page':
        """Read the query parameters of a request.

        :param after: the parameter ``after``.
        :param limit: the parameter ``limit``, empty for the default.
        :raises BadInputError: if the limit is not a number from 1 to 1000.
        """
        if not limit:
            return cls(after)
        if not limit.isascii() or not limit.isdigit() or len(limit) > 4:
            raise errors.BadInputError(f'not a limit: {limit[:20]!r}')
        if not 1 <= int(limit) <= MAX_ROWS:
            raise errors.BadInputError(f'limit must be 1 to {MAX_ROWS}')
        return cls(after, int(limit))

    def of(
        self,
        keys: Iterable[str],
        render: typing.Callable[[str], typing.Any],
    ) -> dict[str, typing.Any]:
        """Return the rows of this page.

        :param keys: the keys of all rows; they are shown in order.
        :param render: returns the row of a key.
        """
        known = list(keys)
        rest = sorted(key for key in known if key > self.after)
        shown = rest[: self.limit]
        return {
            'total': len(known),
            'items': [render(key) for key in shown],
            'next': shown[-1] if len(rest) > len(shown) else None,
        }
