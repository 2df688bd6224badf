"""Bounded pages of rows for the administration API."""

from collections.abc import Iterable
import dataclasses
import typing

from kingcupfront_core import errors

DEFAULT_ROWS = 100
MAX_ROWS = 1000


@dataclasses.dataclass(frozen=True)
class Page:
    """The range of rows that a request asks for.

    :param after: the key of the last row of the page before, empty for the
        first page.
    :param limit: the largest number of rows on the page.
    """

    after: str = ''
    limit: int = DEFAULT_ROWS

    @classmethod
    def parse(cls, after: str, limit: str) -> 'Page':
        """Read the query parameters of a request.

        :param after: the parameter ``after``.
        :param limit: the parameter ``limit``, empty for the default.
        :raises BadInputError: if the limit is not a number from 1 to
            MAX_ROWS.
        """
        if not limit:
            return cls(after)
        if not limit.isascii() or not limit.isdigit() or len(limit) > 4:
            raise errors.BadInputError(
                f'limit must be a number from 1 to {MAX_ROWS}, '
                f'got {limit[:20]!r}'
            )
        if not 1 <= int(limit) <= MAX_ROWS:
            raise errors.BadInputError(
                f'limit must be from 1 to {MAX_ROWS}, got {limit}'
            )
        return cls(after, int(limit))

    def render(
        self,
        keys: Iterable[str],
        render_row: typing.Callable[[str], typing.Any],
    ) -> dict[str, typing.Any]:
        """Return the rows of this page, sorted by key.

        :param keys: the keys of all rows.
        :param render_row: returns the row of a key.
        :returns: the total number of rows, the rows of the page and, unless
            it is the last page, the key to continue after.
        """
        known_keys = list(keys)
        later_keys = sorted(key for key in known_keys if key > self.after)
        page_keys = later_keys[: self.limit]
        return {
            'total': len(known_keys),
            'items': [render_row(key) for key in page_keys],
            'next': page_keys[-1]
            if len(later_keys) > len(page_keys)
            else None,
        }
