"""The prefixes of prompts that an engine keeps."""

import collections


class PrefixCache:
    """Counts the jobs that use each prefix; unused ones stay until dropped."""

    def __init__(self) -> None:
        self.added: list[int] = []
        self.removed: list[int] = []
        self._uses: collections.Counter[int] = collections.Counter()
        self._unused: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def hits(self, prefix: tuple[int, ...]) -> int:
        """Return how many leading hashes of a prompt are kept."""
        for count, value in enumerate(prefix):
            if value not in self._unused and value not in self._uses:
                return count
        return len(prefix)

    def unused(self, prefix: tuple[int, ...]) -> int:
        """Return how many hashes no job uses now."""
        return sum(1 for value in prefix if value not in self._uses)

    def hold(self, prefix: tuple[int, ...]) -> None:
        """Use a prefix for a job."""
        for value in prefix:
            if value not in self._uses:
                if value not in self._unused:
                    self.added.append(value)
                self._unused.pop(value, None)
            self._uses[value] += 1

    def let_go(self, prefix: tuple[int, ...]) -> int:
        """End a job's use; return how many hashes no job uses any more."""
        freed = 0
        for value in prefix:
            self._uses[value] -= 1
            if not self._uses[value]:
                del self._uses[value]
                self._unused[value] = None
                freed += 1
        return freed

    def shrink(self, room: int) -> None:
        """Drop the least recently used until only ``room`` are unused."""
        while len(self._unused) > max(room, 0):
            value, _ = self._unused.popitem(last=False)
            self.removed.append(value)

    def changes(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Return the hashes added and removed since the last call."""
        found = tuple(self.added), tuple(self.removed)
        self.added, self.removed = [], []
        return found
