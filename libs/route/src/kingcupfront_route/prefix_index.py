"""An index of which targets hold which prompt prefixes in their caches."""

import collections
import dataclasses

MAX_PREFIXES = 20_000
MAX_HOLDERS = 8
HOLDER_TTL_SECONDS = 120.0
UNCONFIRMED_WEIGHT = 0.5
_NO_HOLDERS: dict[str, float] = {}


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """A change of a target's prefix cache, as the target reported it.

    :param number: grows by one with each event of a target.
    :param added: hashes of prefixes that the cache now holds.
    :param removed: hashes of prefixes that were evicted.
    """

    number: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


class PrefixIndex:
    """Maps prefix hashes to the targets that probably hold them.

    The index is fed by cache events and by the requests that the entry
    itself sends. Events arrive late and some are lost. After a gap in the
    numbers of a target's events, what was known of that target counts by
    half, until an event or a request of this entry confirms it.

    :param limit: the most prefixes to track; the least recently added are
        dropped first.
    """

    def __init__(self, limit: int = MAX_PREFIXES) -> None:
        self._limit = limit
        self._holders_by_hash: collections.OrderedDict[
            int, dict[str, float]
        ] = collections.OrderedDict()
        self._event_numbers_by_target: dict[str, int] = {}
        self._gap_at_by_target: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._holders_by_hash)

    def apply_event(
        self, target_id: str, event: CacheEvent, now: float
    ) -> None:
        """Apply a cache event of a target.

        :param target_id: the target's id.
        :param event: the event; ignored unless its number is a new highest.
        :param now: the monotonic time in seconds.
        """
        last_number = self._event_numbers_by_target.get(target_id)
        if last_number is not None and event.number <= last_number:
            return
        if last_number is not None and event.number != last_number + 1:
            self._gap_at_by_target[target_id] = now
        self._event_numbers_by_target[target_id] = event.number
        for prefix_hash in event.removed:
            holders = self._holders_by_hash.get(prefix_hash)
            if holders is not None:
                holders.pop(target_id, None)
        self.add(target_id, event.added, now)

    def add(self, target_id: str, hashes: tuple[int, ...], now: float) -> None:
        """Record that a target holds prefixes.

        :param target_id: the target's id.
        :param hashes: the hashes of the prefixes.
        :param now: the monotonic time in seconds.
        """
        for prefix_hash in hashes:
            holders = self._holders_by_hash.get(prefix_hash)
            if holders is None:
                holders = self._holders_by_hash[prefix_hash] = {}
                if len(self._holders_by_hash) > self._limit:
                    self._holders_by_hash.popitem(last=False)
            else:
                self._holders_by_hash.move_to_end(prefix_hash)
            holders[target_id] = now
            if len(holders) > MAX_HOLDERS:
                del holders[min(holders, key=holders.__getitem__)]

    def remove_target(self, target_id: str) -> None:
        """Drop what is known of a target that was removed or replaced."""
        self._event_numbers_by_target.pop(target_id, None)
        self._gap_at_by_target.pop(target_id, None)
        for holders in self._holders_by_hash.values():
            holders.pop(target_id, None)

    def matched_blocks(
        self, prefix: tuple[int, ...], now: float
    ) -> dict[str, float]:
        """Return how many leading blocks of a prompt each target holds.

        A target that holds a block is assumed to hold those before it too,
        because caches evict the ends of prefixes first.

        :param prefix: the hashes of the prompt's blocks, first block first.
        :param now: the monotonic time in seconds.
        :returns: the expected number of blocks by target id.
        """
        matched_by_target: dict[str, float] = {}
        for depth in range(len(prefix), 0, -1):
            for target_id, confirmed_at in self._holders_by_hash.get(
                prefix[depth - 1], _NO_HOLDERS
            ).items():
                if (
                    target_id not in matched_by_target
                    and now - confirmed_at <= HOLDER_TTL_SECONDS
                ):
                    matched_by_target[target_id] = depth * self._confidence(
                        target_id, confirmed_at
                    )
            if len(matched_by_target) >= MAX_HOLDERS:
                break
        return matched_by_target

    def _confidence(self, target_id: str, confirmed_at: float) -> float:
        gap_at = self._gap_at_by_target.get(target_id)
        if gap_at is not None and gap_at > confirmed_at:
            return UNCONFIRMED_WEIGHT
        return 1.0
