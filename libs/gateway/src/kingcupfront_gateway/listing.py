"""The directory's entries as they were read, and the newest changes.

A gateway that watches the directory passes them on to others of its data
centre, which decode them by themselves.
"""

import collections
from collections.abc import Iterable
import typing

from gevent import event

# Changes that are kept; who is further behind gets all entries.
MAX_CHANGES = 512


class Entry(typing.NamedTuple):
    """One entry of the directory, not decoded.

    :param revision: the change that made it.
    :param is_deleted: whether that change removed it.
    """

    key: str
    revision: int
    value: bytes = b''
    is_deleted: bool = False


class Listing:
    """All entries at one revision of the directory."""

    def __init__(self) -> None:
        self.revision: int | None = None
        self.changed = event.Event()
        self._entries_by_key: dict[str, Entry] = {}
        self._changes: collections.deque[Entry] = collections.deque()
        # Changes after this one are kept.
        self._kept_after = 0

    def replace(self, entries: Iterable[Entry], revision: int) -> None:
        """Take in all entries that there are."""
        self._entries_by_key = {entry.key: entry for entry in entries}
        self._changes.clear()
        self._kept_after = revision
        self._move_to(revision)

    def apply(self, changes: Iterable[Entry], revision: int) -> None:
        """Take in what changed up to a revision."""
        for change in changes:
            if change.is_deleted:
                self._entries_by_key.pop(change.key, None)
            else:
                self._entries_by_key[change.key] = change
            self._changes.append(change)
        while len(self._changes) > MAX_CHANGES:
            self._kept_after = self._changes.popleft().revision
        self._move_to(max(revision, self.revision or 0))

    def _move_to(self, revision: int) -> None:
        if revision != self.revision:
            self.revision = revision
            self.changed.set()
            self.changed.clear()

    def changes_since(self, revision: int) -> tuple[bool, list[Entry]]:
        """Return what changed after a revision.

        :returns: whether these are all entries, and the entries.
        """
        if revision < self._kept_after:
            return True, list(self._entries_by_key.values())
        return False, [c for c in self._changes if c.revision > revision]
