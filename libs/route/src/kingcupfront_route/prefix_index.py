"""Which targets hold which prompt prefixes, as far as events tell."""

import collections
import dataclasses

MAX_PREFIXES = 20_000
MAX_HOLDERS = 8
TTL_SECONDS = 120.0
DOUBTED_WEIGHT = 0.5
NO_HOLDERS: dict[str, float] = {}


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """A change of a target's prefix cache.

    :param number: grows by one with each event of a target.
    :param added: hashes of prefixes now held.
    :param removed: hashes of prefixes no longer held.
    """

    number: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


class PrefixIndex:
    """An index from prefix hashes to the targets that likely hold them.

    Events come late and with gaps. After a gap, what is known of a target
    is doubted: it counts half until an event or an own request confirms it.
    Every entry also notes what it sent itself.

    :param limit: the most prefixes that are tracked.
    """

    def __init__(self, limit: int = MAX_PREFIXES) -> None:
        self._limit = limit
        self._holders: collections.OrderedDict[int, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._numbers_by_target: dict[str, int] = {}
        self._doubted_at_by_target: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def apply_event(
        self, target_id: str, event: CacheEvent, now: float
    ) -> None:
        """Take in an event of a target.

        :param target_id: the target's id.
        :param event: the event; one older than the last is ignored.
        :param now: the monotonic time in seconds.
        """
        last = self._numbers_by_target.get(target_id)
        if last is not None and event.number <= last:
            return
        if last is not None and event.number != last + 1:
            self._doubted_at_by_target[target_id] = now
        self._numbers_by_target[target_id] = event.number
        for value in event.removed:
            holders = self._holders.get(value)
            if holders is not None:
                holders.pop(target_id, None)
        self.add(target_id, event.added, now)

    def add(self, target_id: str, values: tuple[int, ...], now: float) -> None:
        """Note that a target holds prefixes.

        :param target_id: the target's id.
        :param values: the hashes.
        :param now: the monotonic time in seconds.
        """
        for value in values:
            holders = self._holders.get(value)
            if holders is None:
                holders = self._holders[value] = {}
                if len(self._holders) > self._limit:
                    self._holders.popitem(last=False)
            else:
                self._holders.move_to_end(value)
            holders[target_id] = now
            if len(holders) > MAX_HOLDERS:
                del holders[min(holders, key=holders.__getitem__)]

    def remove_target(self, target_id: str) -> None:
        """Drop what is known of a target that was replaced."""
        self._numbers_by_target.pop(target_id, None)
        self._doubted_at_by_target.pop(target_id, None)
        for holders in self._holders.values():
            holders.pop(target_id, None)

    def matched_blocks(
        self, prefix: tuple[int, ...], now: float
    ) -> dict[str, float]:
        """Return the expected number of leading hashes each target holds.

        A target that holds a hash is taken to hold those before it too, as
        caches drop the ends of prefixes first.

        :param prefix: the hashes of a prompt, outermost first.
        :param now: the monotonic time in seconds.
        """
        found: dict[str, float] = {}
        for depth in range(len(prefix), 0, -1):
            for target_id, at in self._holders.get(
                prefix[depth - 1], NO_HOLDERS
            ).items():
                if target_id not in found and now - at <= TTL_SECONDS:
                    found[target_id] = depth * self._trust(target_id, at)
            if len(found) >= MAX_HOLDERS:
                break
        return found

    def _trust(self, target_id: str, seen_at: float) -> float:
        doubted_at = self._doubted_at_by_target.get(target_id)
        if doubted_at is not None and doubted_at > seen_at:
            return DOUBTED_WEIGHT
        return 1.0
