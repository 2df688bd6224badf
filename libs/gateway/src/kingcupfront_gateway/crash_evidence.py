"""Finds the parts of prompts that crash engines.

Load pattern: requests that share one part of their prompts come to any
instance, and each of them ends the engine that begins to write its answer.
Other generations end with the engine, and some of those had no event yet
either. No instance sees enough of this, so instances exchange what they saw.

The state is a set of marks, "this part was about to be written on when that
engine crashed", which are added and later cleared, never taken back. Merging
is a union, so messages may be late, repeated or out of order.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import logging
import typing

from gevent import event
import xxhash

from kingcupfront_gateway import culprits
from kingcupfront_gateway import part_records

LOG = logging.getLogger(__name__)

# Before the first trial of a blocked part; the time doubles with each trial.
TRIAL_SECONDS = 60.0
TRIAL_SECONDS_OF_PROVEN_PART = 10.0
MAX_TRIAL_DOUBLINGS = 6
# Trials of different instances are not due at the same moment.
TRIAL_JITTER = 0.5
# Before a group of parts is blocked; within this time all that saw a crash are
# heard of.
SETTLE_SECONDS = 0.3
# Marks are forgotten after this time.
MEMORY_SECONDS = 3600.0
# Bounds of the memory: parts under suspicion, and parts on which answers were
# written.
MAX_RECORDS = 1024
MAX_WRITTEN_PARTS = 8192
# Bounds of what is sent to a peer and accepted from it.
MAX_SHARED_RECORDS = 32


class _Waiting(typing.NamedTuple):
    """A prompt at an engine, and what to call when it is blocked."""

    part_ids: frozenset[str]
    callback: Callable[[], None]


class CrashEvidence:
    """The evidence of one instance, its own and that of its peers.

    The ids of parts here are those that :func:`part_records.part_name` gives
    them, which are bounded in length.

    :param instance: the name of the instance, which names its trials.
    :param jitter: from 0 to 1, how late this instance makes its trials.
    """

    def __init__(self, instance: str, jitter: float) -> None:
        self._instance = instance
        self._trial_factor = 1 + TRIAL_JITTER * jitter
        self._trials = 0
        self._records_by_part: dict[str, part_records.PartRecord] = {}
        self._written_at_by_part: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # A request with all parts of any of these is blocked. A group has
        # several parts if they were in all the same requests.
        self.blocked_groups: frozenset[frozenset[str]] = frozenset()
        # The groups that account for the crashes now, and since when.
        self._found_at_by_group: dict[frozenset[str], float] = {}
        # Equal at instances that block the same; 0 if they block nothing.
        self.blocked_digest = 0
        # The last peer that was found to block something else, or None.
        self.differing_peer: str | None = None
        # Prompts at engines that have not begun to write, and what to call
        # when they are blocked.
        self._waiting_by_number: dict[int, _Waiting] = {}
        self._numbers = itertools.count()
        self.changed = event.Event()
        self.changed_at = float('-inf')

    @property
    def has_records(self) -> bool:
        """Whether any part is or was under suspicion."""
        return bool(self._records_by_part)

    def record_written(
        self, part_ids: Iterable[str], began_at: float, now: float
    ) -> None:
        """Record that an engine has written an answer and lived on.

        :param began_at: when it began to write.
        """
        changed = False
        for part_id in part_ids:
            self._written_at_by_part[part_id] = began_at
            self._written_at_by_part.move_to_end(part_id)
            if len(self._written_at_by_part) > MAX_WRITTEN_PARTS:
                self._written_at_by_part.popitem(last=False)
            record = self._records_by_part.get(part_id)
            if record is not None and self._apply_written(part_id, record):
                record.changed_at = now
                changed = True
        if changed:
            self._update(now)

    def record_crash(
        self,
        crash: str,
        part_ids: Iterable[str],
        *,
        sent_at: float,
        now: float,
    ) -> None:
        """Record that an engine crashed when it was about to write.

        :param crash: the name of that start of the engine, of any length.
        :param part_ids: the shared parts of the prompt, in order.
        :param sent_at: when the request was sent.
        """
        crash = part_records.crash_name(crash)
        for depth, part_id in enumerate(part_ids):
            record = self._records_by_part.setdefault(
                part_id, part_records.PartRecord(depth)
            )
            record.marks_by_crash.setdefault(
                crash, part_records.Mark(sent_at, now)
            )
            record.changed_at = now
            self._apply_written(part_id, record)
        self._update(now)

    def _apply_written(
        self, part_id: str, record: part_records.PartRecord
    ) -> bool:
        """Clear the marks that a later answer refutes; return a change."""
        written_at = self._written_at_by_part.get(part_id)
        if written_at is None:
            return False
        changed = not record.is_proven
        record.is_proven = True
        for mark in record.marks_by_crash.values():
            if mark.at < written_at and not mark.is_cleared:
                mark.is_cleared = changed = True
        return changed

    def merge(
        self, records_by_part: dict[str, part_records.PartRecord], now: float
    ) -> bool:
        """Add the evidence of a peer; return whether anything was new.

        Times are of this process's clock.
        """
        changed = False
        for part_id, other in list(records_by_part.items()):
            if (
                len(part_id) > part_records.MAX_PART_CHARACTERS
                or not other.marks_by_crash
            ):
                continue
            if now - other.last_mark_at > MEMORY_SECONDS:
                continue
            if self._merge_record(part_id, other, now):
                changed = True
        if changed:
            self._update(now)
        return changed

    def _merge_record(
        self, part_id: str, other: part_records.PartRecord, now: float
    ) -> bool:
        record = self._records_by_part.get(part_id)
        if record is None:
            record = self._records_by_part[part_id] = part_records.PartRecord(
                other.depth
            )
        before = record.facts
        record.is_proven = record.is_proven or other.is_proven
        record.was_blocked = record.was_blocked or other.was_blocked
        for crash, mark in other.marks_by_crash.items():
            if len(crash) > part_records.MAX_MARK_CHARACTERS:
                continue
            known = record.marks_by_crash.setdefault(
                crash, dataclasses.replace(mark)
            )
            # A mark seems younger after each delay on its way.
            known.at = min(known.at, mark.at, now)
            known.sent_at = min(known.sent_at, mark.sent_at, known.at)
            known.is_cleared = known.is_cleared or mark.is_cleared
        record.drop_excess()
        self._apply_written(part_id, record)
        if record.facts == before:
            return False
        record.changed_at = now
        return True

    @contextlib.contextmanager
    def calling_when_blocked(
        self, part_ids: Iterable[str], callback: Callable[[], None]
    ) -> Iterator[None]:
        """Call a function if a prompt is blocked while the block runs.

        :param part_ids: the shared parts of the prompt.
        :param callback: called at most once; it must not wait.
        """
        number = next(self._numbers)
        self._waiting_by_number[number] = _Waiting(
            frozenset(part_ids), callback
        )
        try:
            yield
        finally:
            self._waiting_by_number.pop(number, None)

    def _call_waiting(self) -> None:
        for number, waiting in list(self._waiting_by_number.items()):
            if self._blocked_group(waiting.part_ids) is not None:
                del self._waiting_by_number[number]
                waiting.callback()

    def compare_blocked(self, peer: str, digest: int) -> None:
        """Note a peer that blocks other parts than this instance."""
        if digest != self.blocked_digest:
            self.differing_peer = peer
            self._wake()

    def shared_records(self, now: float) -> dict[str, part_records.PartRecord]:
        """Return what peers are to know, bounded in size.

        That are the parts with most crashes and those that changed last.
        """
        self._forget(now)
        records = list(self._records_by_part.items())
        if len(records) > MAX_SHARED_RECORDS:
            records.sort(key=lambda item: item[1].changed_at, reverse=True)
            recent = records[: MAX_SHARED_RECORDS // 2]
            rest = records[MAX_SHARED_RECORDS // 2 :]
            rest.sort(
                key=lambda item: len(item[1].crash_times()), reverse=True
            )
            records = recent + rest[: MAX_SHARED_RECORDS // 2]
        return dict(records)

    def records_beyond(
        self, told_by_part: dict[str, part_records.PartRecord], now: float
    ) -> dict[str, part_records.PartRecord]:
        """Return what is to be shared with a peer that said what it knows."""
        return {
            part_id: record
            for part_id, record in self.shared_records(now).items()
            if part_id not in told_by_part
            or record.facts != told_by_part[part_id].facts
        }

    def blocked_group(
        self, part_ids: Iterable[str], now: float
    ) -> frozenset[str] | None:
        """Return the blocked parts of a prompt, or None if it may be sent."""
        self.settle(now)
        return self._blocked_group(part_ids)

    def _blocked_group(self, part_ids: Iterable[str]) -> frozenset[str] | None:
        if not self.blocked_groups:
            return None
        present = frozenset(part_ids)
        return next((g for g in self.blocked_groups if g <= present), None)

    def trial_wait(self, group: frozenset[str], now: float) -> float:
        """Return the seconds until blocked parts may be tried again."""
        record = max(
            (self._records_by_part[part_id] for part_id in group),
            key=lambda r: r.last_mark_at,
        )
        first_wait = (
            TRIAL_SECONDS_OF_PROVEN_PART if record.is_proven else TRIAL_SECONDS
        )
        wait = first_wait * 2 ** min(record.trials, MAX_TRIAL_DOUBLINGS)
        return record.last_mark_at + wait * self._trial_factor - now

    def start_trial(self, group: frozenset[str], now: float) -> None:
        """Record that one request with blocked parts is sent.

        The trial is known to all instances like a crash, so that no other
        one follows until it has succeeded or the next one is due.
        """
        self._trials += 1
        name = part_records.trial_name(self._instance, self._trials)
        for part_id in group:
            record = self._records_by_part[part_id]
            record.marks_by_crash[name] = part_records.Mark(now, now)
            record.changed_at = now
        LOG.info('prompt_parts_tried', extra={'parts': _name(group)})
        self._update(now)

    def crashes(self, part_ids: Iterable[str]) -> int:
        """Return the crashes that speak against the worst unproven part."""
        records = [self._records_by_part.get(p) for p in part_ids]
        return max(
            (len(r.crash_times()) for r in records if r and not r.is_proven),
            default=0,
        )

    def _update(self, now: float) -> None:
        self._forget(now)
        found = culprits.find(self._records_by_part, now)
        self._found_at_by_group = {
            group: self._found_at_by_group.get(group, now) for group in found
        }
        self._apply_found(now)
        self.changed_at = now
        self._wake()

    def settle(self, now: float) -> None:
        """Block what has accounted for the crashes for long enough."""
        if self._found_at_by_group.keys() != self.blocked_groups:
            self._apply_found(now)

    def _apply_found(self, now: float) -> None:
        """Block the groups that have settled.

        The requests that end with one engine are not seen in one moment, so
        at first a part may seem to account for crashes by itself that another
        one shares. A group that is replaced stays until then.
        """
        before = self.blocked_groups
        settled = {
            group
            for group, found_at in self._found_at_by_group.items()
            if group in before or now - found_at >= SETTLE_SECONDS
        }
        unsettled = self._found_at_by_group.keys() - settled
        replaced = {
            group
            for group in before - settled
            if any(group & other for other in unsettled)
        }
        self.blocked_groups = frozenset(settled | replaced)
        if self.blocked_groups == before:
            return
        self._log_blocked(before)
        for part_id in frozenset().union(*self.blocked_groups):
            record = self._records_by_part[part_id]
            if not record.was_blocked:
                record.was_blocked = True
                record.changed_at = self.changed_at = now
        if self.blocked_groups - before:
            self._call_waiting()
        names = ';'.join(sorted(map(_name, self.blocked_groups)))
        self.blocked_digest = (
            xxhash.xxh64_intdigest(names.encode()) if names else 0
        )
        self._wake()

    def _log_blocked(self, before: frozenset[frozenset[str]]) -> None:
        for group in self.blocked_groups - before:
            record = self._records_by_part[next(iter(group))]
            LOG.warning(
                'prompt_parts_blocked',
                extra={
                    'parts': _name(group),
                    'crashes': len(record.crash_times()),
                    'was_written_before': record.is_proven,
                    'engines': ','.join(record.marks_by_crash),
                },
            )
        for group in before - self.blocked_groups:
            LOG.info('prompt_parts_unblocked', extra={'parts': _name(group)})

    def _wake(self) -> None:
        self.changed.set()
        self.changed.clear()

    def _forget(self, now: float) -> None:
        """Drop what is old, and beyond the bound what changed first."""
        records = self._records_by_part
        for part_id, record in list(records.items()):
            record.drop_excess()
            if now - record.last_mark_at > MEMORY_SECONDS:
                del records[part_id]
        excess = len(records) - MAX_RECORDS
        if excess > 0:
            blocked = frozenset().union(*self.blocked_groups)
            oldest = sorted(
                records.keys() - blocked,
                key=lambda part: records[part].changed_at,
            )
            for part_id in oldest[:excess]:
                del records[part_id]
        self.blocked_groups = frozenset(
            group for group in self.blocked_groups if group <= records.keys()
        )
        self._found_at_by_group = {
            group: found_at
            for group, found_at in self._found_at_by_group.items()
            if group <= records.keys()
        }


def _name(group: frozenset[str]) -> str:
    return ','.join(sorted(group))
