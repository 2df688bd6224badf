"""Which gateway may send to a target that has just started, and when.

Load pattern: a data centre comes back with all its targets cold, and all
gateways see it at the same time. A target that gets more than it can handle
while it is cold crashes. Gateways share no state and have no common clock.

The rate of a cold target is divided into slots of one request a second. Each
slot belongs to the gateway of the target's data centre that ranks first for
it, by a hash. A slot is used at most once in any second, so that the sum over
all gateways is bounded by the number of claims on slots, whatever the clocks
and the moments at which requests arrive.
"""

from collections.abc import Iterable
import math
import typing

from kingcupfront_core import rendezvous

# More than a second, for sends that take different times to arrive.
SLOT_SECONDS = 1.05
# How long a gateway that is no longer heard of counts as the owner of slots.
MEMORY_SECONDS = 60.0
# A gateway that starts again may have sent just before it ended, and does not
# know the others yet.
START_SECONDS = 2.0
LONE_START_SECONDS = 5.0
MAX_COLD_SECONDS = 3600.0
# A gateway whose view misses a third of the others claims the slots of those.
# A slot then has 1 + 1/3 + 1/9 + ... claims on average, with this variance.
CLAIMS_PER_SLOT = 1.5
CLAIM_VARIANCE = 0.37
CLAIM_DEVIATIONS = 4.5
# Bounds the memory for targets; those used longest ago are forgotten.
MAX_SLOTS_IN_MEMORY = 16384


class Bound(typing.NamedTuple):
    """What a cold target can handle.

    :param per_second: requests in a second.
    :param overrun: the factor by which all gateways may exceed it.
    :param slack: the requests by which they may exceed it besides.
    """

    per_second: float
    overrun: float
    slack: float

    @property
    def limit(self) -> float:
        """The requests in any second beyond which the target crashes."""
        return self.per_second * self.overrun + self.slack

    def slots(self) -> int:
        """Return the slots of a target, the most that keep to the limit."""
        if self.limit < 1:
            return 0
        count = max(1, int(self.per_second))
        while count > 1 and _claims(count) > self.limit:
            count -= 1
        return count

    def slot_seconds(self) -> float:
        """Return the least time between two uses of a slot."""
        return SLOT_SECONDS * max(1.0, self.slots() / self.per_second)


def _claims(slots: int) -> float:
    """Return the claims on slots if each view misses a third of the others."""
    deviation = math.sqrt(CLAIM_VARIANCE * slots)
    return CLAIMS_PER_SLOT * slots + CLAIM_DEVIATIONS * deviation


def read_cold_seconds(seconds: float) -> float:
    """Return for how long a target is cold by its own statement."""
    if not seconds > 0:
        return 0.0
    return min(seconds, MAX_COLD_SECONDS)


class ColdTargets:
    """The slots of cold targets that this gateway may use.

    :param own_name: the name of this gateway among the others.
    :param started_at: when this gateway started, in seconds.
    """

    def __init__(self, own_name: str, started_at: float) -> None:
        self._own_name = own_name
        self._started_at = started_at
        self._has_contact = False
        self._last_seen_by_name: dict[str, float] = {}
        self._names: tuple[str, ...] = (own_name,)
        self._free_at_by_slot: dict[tuple[str, int], float] = {}
        # The slots that this gateway owns, for the present names.
        self._own_slots_by_target: dict[tuple[str, int], list[int]] = {}

    def record_contact(self) -> None:
        """Record that another gateway has answered this one."""
        self._has_contact = True

    def record_gateways(self, names: Iterable[str], now: float) -> None:
        """Record which gateways of the data centre are known now."""
        for name in names:
            self._last_seen_by_name[name] = now
        for name, seen_at in list(self._last_seen_by_name.items()):
            if now - seen_at > MEMORY_SECONDS:
                del self._last_seen_by_name[name]
        known = tuple(sorted({self._own_name, *self._last_seen_by_name}))
        if known != self._names:
            self._names = known
            self._own_slots_by_target.clear()

    @property
    def gateway_count(self) -> int:
        """The gateways among which the slots are divided."""
        return len(self._names)

    def may_send(self, target: str, bound: Bound, now: float) -> bool:
        """Return whether a slot of a cold target is free."""
        return self._find_slot(target, bound, now) is not None

    def acquire(self, target: str, bound: Bound, now: float) -> bool:
        """Use a slot of a cold target; return whether one was free."""
        slot = self._find_slot(target, bound, now)
        if slot is None:
            return False
        self._free_at_by_slot.pop((target, slot), None)
        self._free_at_by_slot[target, slot] = now + bound.slot_seconds()
        if len(self._free_at_by_slot) > MAX_SLOTS_IN_MEMORY:
            del self._free_at_by_slot[next(iter(self._free_at_by_slot))]
        return True

    def _find_slot(self, target: str, bound: Bound, now: float) -> int | None:
        start = START_SECONDS if self._has_contact else LONE_START_SECONDS
        if now - self._started_at < start:
            return None
        for slot in self._own_slots(target, bound.slots()):
            if self._free_at_by_slot.get((target, slot), now) <= now:
                return slot
        return None

    def _own_slots(self, target: str, count: int) -> list[int]:
        key = target, count
        if key not in self._own_slots_by_target:
            if len(self._own_slots_by_target) > MAX_SLOTS_IN_MEMORY:
                self._own_slots_by_target.clear()
            self._own_slots_by_target[key] = [
                slot
                for slot in range(count)
                if rendezvous.rank(f'{target}/{slot}', self._names)[0]
                == self._own_name
            ]
        return self._own_slots_by_target[key]
