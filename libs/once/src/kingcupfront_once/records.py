"""Results by idempotency key, so that each key's call runs once."""

from collections.abc import Callable
import dataclasses
import heapq
import logging
import typing

from gevent import event

from kingcupfront_core import clock
from kingcupfront_core import outcomes
from kingcupfront_once import call
from kingcupfront_once import errors

LOG = logging.getLogger(__name__)
MAX_RECORDS = 50_000
MAX_BODY_BYTES = 64 * 1024
MAX_TOTAL_BYTES = 32 * 1024 * 1024
ANSWERED_GRACE_SECONDS = 5.0

Action = Callable[[], call.Result]


@dataclasses.dataclass
class Record:
    """What is known of one key.

    :param fingerprint: the digest of the call it was first used with.
    :param keep_until: monotonic second until which it is not forgotten.
    :param ended: set when the result is there.
    :param result: the result as it is remembered.
    :param answered_at: monotonic second of the last answer, if any.
    """

    fingerprint: bytes
    keep_until: float
    ended: event.Event = dataclasses.field(default_factory=event.Event)
    result: call.Result | None = None
    answered_at: float | None = None


class Records:
    """Runs the call of each key once and remembers its result.

    A result is final, ``not_run`` included: a late duplicate of a request
    that was reported as not run must not run after all. No record is
    forgotten before its key has expired; when all records are taken, new
    keys are refused.

    :param time: the clock.
    :param max_records: bound on the keys held.
    :param max_body_bytes: bound on one remembered body, in bytes.
    :param max_total_bytes: bound on all remembered bodies, in bytes.
    """

    def __init__(
        self,
        time: clock.Clock = clock.SYSTEM,
        *,
        max_records: int = MAX_RECORDS,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_total_bytes: int = MAX_TOTAL_BYTES,
    ) -> None:
        self._clock = time
        self._max_records = max_records
        self._max_body_bytes = max_body_bytes
        self._max_total_bytes = max_total_bytes
        self._records_by_key: dict[str, Record] = {}
        self._ends_by_expected_key: dict[str, float] = {}
        self._expiries: list[tuple[float, str]] = []
        self._body_sizes_by_key: dict[str, int] = {}
        self._body_bytes = 0

    def expect(self, key: str, until: float) -> None:
        """Note that a key was issued and may be presented.

        :param key: the key.
        :param until: monotonic second until which it may be run.
        :raises TooManyKeysError: if no more keys can be held.
        """
        self._make_room()
        self._ends_by_expected_key[key] = until
        heapq.heappush(self._expiries, (until, key))

    def run(
        self,
        key: str,
        work: call.Call,
        keep_until: float,
        action: Action,
    ) -> call.Result:
        """Run a call, or return the result of the first one of its key.

        :param key: the key.
        :param work: the call.
        :param keep_until: monotonic second after which the key is refused
            before it gets here.
        :param action: runs the call.
        :raises KeyReuseError: if the key was used with another call.
        :raises TooManyKeysError: if no more keys can be held.
        """
        record = self._records_by_key.get(key)
        if record is not None:
            return self._wait(record, work)
        if key not in self._ends_by_expected_key:
            self._make_room()
        self._ends_by_expected_key.pop(key, None)
        record = Record(work.fingerprint, keep_until)
        self._records_by_key[key] = record
        result = call.Result(outcomes.Outcome.UNKNOWN, code='internal_error')
        try:
            result = action()
        finally:
            self._end(key, record, result)
        return result

    def forget(self, key: str) -> None:
        """Drop the record of a key whose call was not begun here."""
        self._records_by_key.pop(key, None)
        self._body_bytes -= self._body_sizes_by_key.pop(key, 0)

    @property
    def pending(self) -> int:
        """Keys that a caller may still come for."""
        self._expire()
        recent = self._clock.monotonic() - ANSWERED_GRACE_SECONDS
        unfetched = sum(
            record.answered_at is None or record.answered_at > recent
            for record in self._records_by_key.values()
        )
        return unfetched + len(self._ends_by_expected_key)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return counts for a state dump."""
        records = self._records_by_key.values()
        return {
            'issued': len(self._ends_by_expected_key),
            'running': sum(not r.ended.is_set() for r in records),
            'remembered': len(records),
            'body_bytes': self._body_bytes,
        }

    def _wait(self, record: Record, work: call.Call) -> call.Result:
        if record.fingerprint != work.fingerprint:
            raise errors.KeyReuseError('the key is of another request')
        if not record.ended.wait(work.timeout_seconds):
            return call.Result(
                outcomes.Outcome.UNKNOWN,
                code='still_running',
                reason='the first request with this key has not ended',
            )
        record.answered_at = self._clock.monotonic()
        return dataclasses.replace(record.result, replayed=True)

    def _end(self, key: str, record: Record, result: call.Result) -> None:
        kept = result
        if len(result.body) > self._max_body_bytes:
            kept = dataclasses.replace(result, body=b'', body_dropped=True)
        record.result = kept
        record.answered_at = self._clock.monotonic()
        record.ended.set()
        heapq.heappush(self._expiries, (record.keep_until, key))
        if kept.body:
            self._body_sizes_by_key[key] = len(kept.body)
            self._body_bytes += len(kept.body)
        self._shed_bodies()

    def _shed_bodies(self) -> None:
        while self._body_bytes > self._max_total_bytes:
            key = next(iter(self._body_sizes_by_key))
            self._body_bytes -= self._body_sizes_by_key.pop(key)
            record = self._records_by_key[key]
            record.result = dataclasses.replace(
                record.result, body=b'', body_dropped=True
            )

    def _make_room(self) -> None:
        self._expire()
        held = len(self._records_by_key) + len(self._ends_by_expected_key)
        if held >= self._max_records:
            raise errors.TooManyKeysError('no more keys can be held')

    def _expire(self) -> None:
        now = self._clock.monotonic()
        while self._expiries and self._expiries[0][0] < now:
            _, key = heapq.heappop(self._expiries)
            if self._ends_by_expected_key.get(key, now) < now:
                del self._ends_by_expected_key[key]
            record = self._records_by_key.get(key)
            if record and record.ended.is_set() and record.keep_until < now:
                self.forget(key)
