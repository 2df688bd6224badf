"""What one entry has sent to a target and not yet seen reported."""

import bisect
import typing

HISTORY_SECONDS = 10.0
MAX_CHANGES = 512


class LoadChange(typing.NamedTuple):
    """One change of an entry's own load on a target.

    :param at: the monotonic second of the change.
    :param jobs: 1 for a job sent, -1 for a job ended.
    :param blocks: blocks of memory taken, or freed if negative.
    :param prefill: prompt tokens to be computed.
    """

    at: float
    jobs: int
    blocks: float
    prefill: float


NOTHING = LoadChange(0.0, 0, 0.0, 0.0)


class Ledger:
    """An entry's own recent changes of load on a target, as running sums."""

    __slots__ = ('_dropped', '_moments', '_sums')

    def __init__(self) -> None:
        self._moments: list[float] = []
        self._sums: list[LoadChange] = []
        self._dropped = NOTHING

    def __len__(self) -> int:
        return len(self._sums)

    def add(self, change: LoadChange) -> None:
        """Record a change; changes come in the order of time."""
        last = self._sums[-1] if self._sums else NOTHING
        self._moments.append(change.at)
        self._sums.append(
            LoadChange(
                change.at,
                last.jobs + change.jobs,
                last.blocks + change.blocks,
                last.prefill + change.prefill,
            )
        )
        if self._moments[0] < change.at - 2 * HISTORY_SECONDS:
            moment = change.at - HISTORY_SECONDS
            self._drop(bisect.bisect_left(self._moments, moment))
        elif len(self._sums) > MAX_CHANGES:
            self._drop(MAX_CHANGES // 2)

    def _drop(self, count: int) -> None:
        """Drop the oldest changes, all of them too old or too many."""
        self._dropped = self._sums[count - 1]
        del self._moments[:count]
        del self._sums[:count]

    def since(self, moment: float) -> LoadChange:
        """Return the sum of the changes at and after a moment.

        :param moment: a monotonic second.
        """
        if not self._sums or self._moments[-1] < moment:
            return NOTHING
        index = bisect.bisect_left(self._moments, moment)
        before = self._sums[index - 1] if index else self._dropped
        return self._less(self._sums[-1], before)

    @staticmethod
    def _less(last: LoadChange, first: LoadChange) -> LoadChange:
        return LoadChange(
            last.at,
            last.jobs - first.jobs,
            last.blocks - first.blocks,
            last.prefill - first.prefill,
        )
