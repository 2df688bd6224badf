"""The usable targets of one service, indexed by data centre."""

from collections.abc import Collection
import random

import xxhash

from kingcupfront_route import target as targets


def _jump_hash(key: int, buckets: int) -> int:
    """Return the bucket of a key; few keys move when buckets are added.

    Lamping and Veach, "A Fast, Minimal Memory, Consistent Hash Algorithm",
    2014.
    """
    bucket, next_bucket = -1, 0
    while next_bucket < buckets:
        bucket = next_bucket
        key = (key * 2862933555777941757 + 1) & 0xFFFFFFFFFFFFFFFF
        next_bucket = int((bucket + 1) * (1 << 31) / ((key >> 33) + 1))
    return bucket


class _IndexedTargets:
    """A set of targets with constant-time add, discard and random choice."""

    __slots__ = ('index_by_id', 'items')

    def __init__(self) -> None:
        self.items: list[targets.Target] = []
        self.index_by_id: dict[str, int] = {}

    def add(self, target: targets.Target) -> None:
        if target.id not in self.index_by_id:
            self.index_by_id[target.id] = len(self.items)
            self.items.append(target)

    def discard(self, target_id: str) -> None:
        index = self.index_by_id.pop(target_id, None)
        if index is None:
            return
        last = self.items.pop()
        if last.id != target_id:
            self.items[index] = last
            self.index_by_id[last.id] = index


class Pool:
    """The usable targets of one service.

    Only iterating over them takes time that grows with their number.
    """

    def __init__(self) -> None:
        self._all = _IndexedTargets()
        self._by_place: dict[str, _IndexedTargets] = {}
        self._affinity_ids_by_place: dict[str, list[str]] = {}

    def __len__(self) -> int:
        return len(self._all.items)

    def __contains__(self, target_id: object) -> bool:
        return target_id in self._all.index_by_id

    def get(self, target_id: str) -> targets.Target | None:
        """Return a usable target by its id."""
        index = self._all.index_by_id.get(target_id)
        return None if index is None else self._all.items[index]

    def add(self, target: targets.Target) -> None:
        """Add a usable target."""
        self._all.add(target)
        self._by_place.setdefault(target.place, _IndexedTargets()).add(target)

    def discard(self, target: targets.Target) -> None:
        """Remove a target if it is in the pool."""
        self._all.discard(target.id)
        indexed = self._by_place.get(target.place)
        if indexed is not None:
            indexed.discard(target.id)

    def set_affinity_ids(self, ids_by_place: dict[str, list[str]]) -> None:
        """Set the targets from which affinity targets are chosen.

        :param ids_by_place: ids of all known targets, ejected ones included,
            in an order that all entries share.
        """
        self._affinity_ids_by_place = ids_by_place

    def affinity_id(self, prefix_hash: int, place: str) -> str | None:
        """Return the id of a prefix's affinity target in a data centre.

        All entries send a prefix to the same target by preference, so that
        its KV cache is computed and kept once.

        :param prefix_hash: the prefix's hash.
        :param place: the name of the data centre.
        """
        ids = self._affinity_ids_by_place.get(place)
        if not ids:
            return None
        key = xxhash.xxh64_intdigest(str(prefix_hash).encode())
        return ids[_jump_hash(key, len(ids))]

    def items(self) -> list[targets.Target]:
        """Return all targets in the pool."""
        return self._all.items

    def sample(
        self,
        rng: random.Random,
        count: int,
        excluded: Collection[str] = (),
        *,
        place: str | None = None,
    ) -> list[targets.Target]:
        """Return up to ``count`` different targets at random.

        :param rng: the source of random numbers.
        :param count: the most targets to return.
        :param excluded: ids to leave out.
        :param place: the data centre to sample from; all if None.
        """
        indexed = self._all if place is None else self._by_place.get(place)
        if indexed is None or not indexed.items:
            return []
        if len(indexed.items) <= count + len(excluded):
            found = [t for t in indexed.items if t.id not in excluded]
            rng.shuffle(found)
            return found[:count]
        found = rng.sample(indexed.items, count + len(excluded))
        return [t for t in found if t.id not in excluded][:count]
