"""What one entry has sent to a target and not yet seen reported."""

import collections
import typing

HISTORY_SECONDS = 10.0
MAX_HISTORY = 512


class Change(typing.NamedTuple):
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


class Ledger:
    """An entry's own recent changes of load on a target."""

    __slots__ = ('_changes',)

    def __init__(self) -> None:
        self._changes: collections.deque[Change] = collections.deque(
            maxlen=MAX_HISTORY
        )

    def add(self, change: Change) -> None:
        """Record a change; changes come in the order of time."""
        self._changes.append(change)
        while self._changes[0].at < change.at - HISTORY_SECONDS:
            self._changes.popleft()

    def since(self, moment: float) -> Change:
        """Return the sum of the changes after a moment.

        :param moment: a monotonic second.
        """
        jobs, blocks, prefill = 0, 0.0, 0.0
        for change in reversed(self._changes):
            if change.at <= moment:
                break
            jobs += change.jobs
            blocks += change.blocks
            prefill += change.prefill
        return Change(moment, jobs, blocks, prefill)
