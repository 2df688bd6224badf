"""Decides which parts of prompts account for the crashes of engines.

Load pattern: each crash ends several generations that had no event yet, and
most of their parts have nothing to do with it. Engines also crash for reasons
of their own, one at a time or many at once.
"""

import bisect
import math

from kingcupfront_gateway import part_records

# Crashes that are needed before a part is blocked.
BLOCK_CRASHES = 3
# An engine has written on the part before, so it must have changed since.
BLOCK_CRASHES_OF_PROVEN_PART = 4
# Where engines often end for other reasons, a part meets some of these ends by
# chance. Each doubling of this number of crashes asks for one crash more.
BACKGROUND_CRASHES = 8
BACKGROUND_SECONDS = 600.0
MAX_BACKGROUND_ADDITION = 3


def find(
    records_by_part: dict[str, part_records.PartRecord], now: float
) -> frozenset[frozenset[str]]:
    """Return the fewest groups of parts that account for the crashes.

    The part with most crashes comes first, the deepest of several, and
    with it those that were in all the same requests: any of them may be
    the cause, so only requests with all of them are blocked. What a group
    accounts for does not speak against other parts.
    """
    culprits: set[frozenset[str]] = set()
    explained: set[str] = set()
    recent = _recent_crashes(records_by_part, now)
    for is_proven, threshold in (
        (False, BLOCK_CRASHES),
        (True, BLOCK_CRASHES_OF_PROVEN_PART),
    ):
        suspects = {
            part_id: record
            for part_id, record in records_by_part.items()
            if record.is_proven == is_proven
            and len(record.marks_by_crash) >= threshold - 1
        }
        while suspects:
            group = _find_group(suspects, explained, threshold, recent)
            if not group:
                break
            culprits.add(group)
            for part_id in group:
                explained |= suspects.pop(part_id).open_crashes
    return frozenset(culprits)


def _find_group(
    suspects: dict[str, part_records.PartRecord],
    explained: set[str],
    threshold: int,
    recent: dict[str, float],
) -> frozenset[str]:
    """Return the suspects that most likely are the cause, or none.

    :param explained: crashes that other parts account for.
    :param threshold: the crashes that are needed at least.
    :param recent: when all engines crashed, by the names of the crashes.
    """
    ranked = sorted(
        suspects.items(),
        key=lambda i: (len(i[1].crash_times(explained)), i[1].depth, i[0]),
        reverse=True,
    )
    for _, record in ranked:
        crashes = record.open_crashes - explained
        others = sorted(
            at
            for crash, at in recent.items()
            if crash not in explained and crash not in crashes
        )
        # The times of crashes differ by the delays of messages. What one
        # instance blocks is not to be in doubt at another one for that.
        needed = threshold - record.was_blocked
        if _suffices(record.crash_times(explained), needed, others):
            return frozenset(
                part_id
                for part_id, other in suspects.items()
                if other.open_crashes - explained == crashes
            )
    return frozenset()


def _recent_crashes(
    records_by_part: dict[str, part_records.PartRecord], now: float
) -> dict[str, float]:
    """Return when engines crashed lately, by the names of the crashes."""
    return {
        crash: mark.at
        for record in records_by_part.values()
        for crash, mark in record.marks_by_crash.items()
        if now - mark.at <= BACKGROUND_SECONDS
        and not crash.startswith(part_records.TRIAL_PREFIX)
    }


def _suffices(times: list[float], threshold: int, others: list[float]) -> bool:
    """Return whether crashes are too many to be met by chance.

    What suffices once is not taken back by later crashes of other causes.

    :param times: when the crashes were that speak against a part, in order.
    :param threshold: how many are needed where no others are.
    :param others: when engines crashed otherwise, in order.
    """
    for count, at in enumerate(times, 1):
        background = bisect.bisect_right(others, at)
        doublings = int(math.log2(1 + background / BACKGROUND_CRASHES))
        if count >= threshold + min(doublings, MAX_BACKGROUND_ADDITION):
            return True
    return False
