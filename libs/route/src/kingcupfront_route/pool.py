"""The usable targets of one service, indexed by place."""

from collections.abc import Collection
import random

import xxhash

from kingcupfront_route import target


def _jump(key: int, buckets: int) -> int:
    """Return a bucket that stays when buckets are added.

    Lamping and Veach, "A Fast, Minimal Memory, Consistent Hash Algorithm",
    2014.
    """
    bucket, following = -1, 0
    while following < buckets:
        bucket = following
        key = (key * 2862933555777941757 + 1) & 0xFFFFFFFFFFFFFFFF
        following = int((bucket + 1) * (1 << 31) / ((key >> 33) + 1))
    return bucket


class _Bag:
    """Targets with constant-time add, remove and random choice."""

    __slots__ = ('index_by_id', 'items')

    def __init__(self) -> None:
        self.items: list[target.Target] = []
        self.index_by_id: dict[str, int] = {}

    def add(self, item: target.Target) -> None:
        if item.id not in self.index_by_id:
            self.index_by_id[item.id] = len(self.items)
            self.items.append(item)

    def discard(self, target_id: str) -> None:
        index = self.index_by_id.pop(target_id, None)
        if index is None:
            return
        last = self.items.pop()
        if last.id != target_id:
            self.items[index] = last
            self.index_by_id[last.id] = index


class Pool:
    """Usable targets; no operation but iteration grows with their number."""

    def __init__(self) -> None:
        self._all = _Bag()
        self._by_place: dict[str, _Bag] = {}
        self._homes_by_place: dict[str, list[str]] = {}

    def __len__(self) -> int:
        return len(self._all.items)

    def __contains__(self, target_id: object) -> bool:
        return target_id in self._all.index_by_id

    def get(self, target_id: str) -> target.Target | None:
        """Return a usable target by its id."""
        index = self._all.index_by_id.get(target_id)
        return None if index is None else self._all.items[index]

    def add(self, item: target.Target) -> None:
        """Add a usable target."""
        self._all.add(item)
        self._by_place.setdefault(item.place, _Bag()).add(item)

    def discard(self, item: target.Target) -> None:
        """Remove a target if it is there."""
        self._all.discard(item.id)
        bag = self._by_place.get(item.place)
        if bag is not None:
            bag.discard(item.id)

    def set_homes(self, ids_by_place: dict[str, list[str]]) -> None:
        """Set the targets among which prefixes have their homes.

        :param ids_by_place: ids in an order that all entries share, of
            targets that are out for a while too.
        """
        self._homes_by_place = ids_by_place

    def home(self, prefix: int, place: str) -> str | None:
        """Return the target of a place where a prefix is best kept.

        :param prefix: the prefix's hash.
        :param place: the name of the place.
        """
        ids = self._homes_by_place.get(place)
        if not ids:
            return None
        key = xxhash.xxh64_intdigest(str(prefix).encode())
        return ids[_jump(key, len(ids))]

    def items(self) -> list[target.Target]:
        """Return all targets; grows with their number."""
        return self._all.items

    def sample(
        self,
        rng: random.Random,
        count: int,
        excluded: Collection[str] = (),
        *,
        place: str | None = None,
    ) -> list[target.Target]:
        """Return up to ``count`` different targets at random.

        :param rng: the source of random numbers.
        :param count: how many.
        :param excluded: ids to leave out.
        :param place: only targets of this place, if given.
        """
        bag = self._all if place is None else self._by_place.get(place)
        if bag is None or not bag.items:
            return []
        if len(bag.items) <= count + len(excluded):
            found = [t for t in bag.items if t.id not in excluded]
            rng.shuffle(found)
            return found[:count]
        found = rng.sample(bag.items, count + len(excluded))
        return [t for t in found if t.id not in excluded][:count]
