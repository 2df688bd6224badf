"""The undecoded entries of the directory and its most recent changes.

The gateway that watches the directory passes them on to the other gateways
of its data centre, which decode the entries themselves.
"""

import collections
from collections.abc import Iterable
import typing

from gevent import event

from kingcupfront_decisions import eras

# Retained changes; a gateway that is further behind gets all entries.
MAX_RECENT_CHANGES = 512


class Entry(typing.NamedTuple):
    """One undecoded entry of the directory.

    :param revision: the revision of the entry's last change.
    :param is_deleted: whether that change deleted the entry.
    """

    key: str
    revision: int
    value: bytes = b''
    is_deleted: bool = False


class Listing:
    """The directory's entries at one revision, and its recent changes."""

    def __init__(self) -> None:
        self.era = 0
        # None before the first full read of an era.
        self.revision: int | None = None
        self.changed = event.Event()
        self._entries_by_key: dict[str, Entry] = {}
        self._changes: collections.deque[Entry] = collections.deque()
        # Revision after which all changes are retained.
        self._history_start = 0

    @property
    def view(self) -> eras.View | None:
        """The era and revision of the entries; None if there are none."""
        if self.revision is None:
            return None
        return eras.View(self.era, self.revision)

    def start_era(self, era: int) -> None:
        """Discard the revision: those of another era are not comparable."""
        self.era = era
        self.revision = None

    def replace(self, entries: Iterable[Entry], revision: int) -> None:
        """Replace all entries by those of a full read."""
        self._entries_by_key = {entry.key: entry for entry in entries}
        self._changes.clear()
        self._history_start = revision
        self._set_revision(revision)

    def apply(self, changes: Iterable[Entry], revision: int) -> None:
        """Apply all changes up to a revision."""
        for change in changes:
            if change.is_deleted:
                self._entries_by_key.pop(change.key, None)
            else:
                self._entries_by_key[change.key] = change
            self._changes.append(change)
        while len(self._changes) > MAX_RECENT_CHANGES:
            self._history_start = self._changes.popleft().revision
        self._set_revision(max(revision, self.revision or 0))

    def _set_revision(self, revision: int) -> None:
        if revision != self.revision:
            self.revision = revision
            self.changed.set()
            self.changed.clear()

    def changes_since(
        self, revision: int, era: int = 0
    ) -> tuple[bool, list[Entry]]:
        """Return the changes after a revision, or all entries.

        :param era: the era of that revision.
        :returns: whether these are all entries, because the changes are no
            longer retained; and the entries.
        """
        if era != self.era or revision < self._history_start:
            return True, list(self._entries_by_key.values())
        return False, [c for c in self._changes if c.revision > revision]
