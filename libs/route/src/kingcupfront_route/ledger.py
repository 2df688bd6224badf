"""An entry's own changes of a target's load, which reports lag behind."""

import bisect
import typing

HISTORY_SECONDS = 10.0
MAX_CHANGES = 512


class LoadChange(typing.NamedTuple):
    """A change of the load that one entry puts on a target.

    :param at: the monotonic second of the change.
    :param requests: 1 for a request sent, -1 for a request ended.
    :param blocks: blocks of KV cache taken, or freed if negative.
    :param prefill_tokens: prompt tokens sent for prefill.
    """

    at: float
    requests: int
    blocks: float
    prefill_tokens: float


NO_CHANGE = LoadChange(0.0, 0, 0.0, 0.0)


class Ledger:
    """The recent load changes of one entry on one target, as running sums."""

    __slots__ = ('_dropped_sum', '_sums', '_times')

    def __init__(self) -> None:
        self._times: list[float] = []
        self._sums: list[LoadChange] = []
        self._dropped_sum = NO_CHANGE

    def __len__(self) -> int:
        return len(self._sums)

    def add(self, change: LoadChange) -> None:
        """Record a change, which must not be earlier than the last one."""
        last = self._sums[-1] if self._sums else NO_CHANGE
        self._times.append(change.at)
        self._sums.append(
            LoadChange(
                change.at,
                last.requests + change.requests,
                last.blocks + change.blocks,
                last.prefill_tokens + change.prefill_tokens,
            )
        )
        if self._times[0] < change.at - 2 * HISTORY_SECONDS:
            start = change.at - HISTORY_SECONDS
            self._drop(bisect.bisect_left(self._times, start))
        elif len(self._sums) > MAX_CHANGES:
            self._drop(MAX_CHANGES // 2)

    def _drop(self, count: int) -> None:
        """Drop the oldest changes, which are too old or too many."""
        self._dropped_sum = self._sums[count - 1]
        del self._times[:count]
        del self._sums[:count]

    def sum_since(self, start: float) -> LoadChange:
        """Return the sum of the changes at and after a monotonic second.

        Changes that were dropped are not counted.

        :param start: the monotonic second.
        """
        if not self._sums or self._times[-1] < start:
            return NO_CHANGE
        index = bisect.bisect_left(self._times, start)
        before = self._sums[index - 1] if index else self._dropped_sum
        return self._difference(self._sums[-1], before)

    @staticmethod
    def _difference(last: LoadChange, first: LoadChange) -> LoadChange:
        return LoadChange(
            last.at,
            last.requests - first.requests,
            last.blocks - first.blocks,
            last.prefill_tokens - first.prefill_tokens,
        )
