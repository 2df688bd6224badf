"""The results of calls by idempotency key; the call of a key runs once."""

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
# How long a key stays pending after its result was returned: the caller may
# not have received the result, and retry.
ANSWERED_GRACE_SECONDS = 5.0

RunCall = Callable[[], call.Result]


@dataclasses.dataclass
class Record:
    """The call of one key and its result.

    :param fingerprint: the fingerprint of the call of the first request.
    :param keep_until: the monotonic second until which the record is kept.
    :param completed: is set when the call has ended.
    :param result: the stored result, None until the call has ended.
    :param answered_at: the monotonic second at which the result was last
        returned, None until the call has ended.
    """

    fingerprint: bytes
    keep_until: float
    completed: event.Event = dataclasses.field(default_factory=event.Event)
    result: call.Result | None = None
    answered_at: float | None = None


class IdempotencyRecords:
    """Runs the call of each key once and stores its result.

    Each result is final, also ``not_run``: a late duplicate of a request that
    was reported as not run must not run after all. No record is evicted
    before its key has expired, so new keys are refused while the table is
    full. Bodies of results are evicted when they take too many bytes, that of
    the call that ended first before the others.

    :param time: the clock.
    :param max_records: the largest number of keys, issued or used.
    :param max_body_bytes: the largest body that is stored, in bytes.
    :param max_total_bytes: the largest size of all stored bodies, in bytes.
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
        self._expiries_by_issued_key: dict[str, float] = {}
        self._expiry_heap: list[tuple[float, str]] = []
        self._body_bytes_by_key: dict[str, int] = {}
        self._total_body_bytes = 0

    def register_issued(self, key: str, expires_at: float) -> None:
        """Reserve a place for a key that was issued but not used yet.

        :param key: the key.
        :param expires_at: the monotonic second at which it expires.
        :raises TooManyKeysError: if the table of keys is full.
        """
        self._ensure_capacity()
        self._expiries_by_issued_key[key] = expires_at
        heapq.heappush(self._expiry_heap, (expires_at, key))

    def run(
        self,
        key: str,
        request: call.Call,
        keep_until: float,
        run_call: RunCall,
    ) -> call.Result:
        """Run a call, or return the result of the first call of its key.

        A second call waits while the first one runs, up to its own time-out.

        :param key: the key.
        :param request: the call.
        :param keep_until: the monotonic second until which the record is
            kept; the caller must refuse the key from then on.
        :param run_call: runs the call and returns its result.
        :raises KeyReuseError: if the key was used with another call.
        :raises TooManyKeysError: if the table of keys is full.
        """
        record = self._records_by_key.get(key)
        if record is not None:
            return self._wait_for_result(record, request)
        if key not in self._expiries_by_issued_key:
            self._ensure_capacity()
        self._expiries_by_issued_key.pop(key, None)
        record = Record(request.fingerprint, keep_until)
        self._records_by_key[key] = record
        result = call.Result(outcomes.Outcome.UNKNOWN, code='internal_error')
        try:
            result = run_call()
        finally:
            self._store_result(key, record, result)
        return result

    def remove(self, key: str) -> None:
        """Remove the record of a key whose call this process did not run."""
        self._records_by_key.pop(key, None)
        self._total_body_bytes -= self._body_bytes_by_key.pop(key, 0)

    @property
    def pending(self) -> int:
        """The number of keys whose callers may still ask for a result."""
        self._expire()
        grace_start = self._clock.monotonic() - ANSWERED_GRACE_SECONDS
        unfetched = sum(
            record.answered_at is None or record.answered_at > grace_start
            for record in self._records_by_key.values()
        )
        return unfetched + len(self._expiries_by_issued_key)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return counts of keys and the size of bodies for a state dump."""
        records = self._records_by_key.values()
        return {
            'issued': len(self._expiries_by_issued_key),
            'running': sum(not r.completed.is_set() for r in records),
            'remembered': len(records),
            'body_bytes': self._total_body_bytes,
        }

    def _wait_for_result(
        self, record: Record, request: call.Call
    ) -> call.Result:
        if record.fingerprint != request.fingerprint:
            raise errors.KeyReuseError(
                'the key was used before with another request'
            )
        if not record.completed.wait(request.timeout_seconds):
            return call.Result(
                outcomes.Outcome.UNKNOWN,
                code='still_running',
                reason='the first request with this key is still running after'
                f' {request.timeout_seconds:g} s',
            )
        record.answered_at = self._clock.monotonic()
        return dataclasses.replace(record.result, replayed=True)

    def _store_result(
        self, key: str, record: Record, result: call.Result
    ) -> None:
        stored = result
        if len(result.body) > self._max_body_bytes:
            stored = dataclasses.replace(result, body=b'', body_dropped=True)
        record.result = stored
        record.answered_at = self._clock.monotonic()
        record.completed.set()
        heapq.heappush(self._expiry_heap, (record.keep_until, key))
        if stored.body:
            self._body_bytes_by_key[key] = len(stored.body)
            self._total_body_bytes += len(stored.body)
        self._evict_bodies()

    def _evict_bodies(self) -> None:
        while self._total_body_bytes > self._max_total_bytes:
            key = next(iter(self._body_bytes_by_key))
            self._total_body_bytes -= self._body_bytes_by_key.pop(key)
            record = self._records_by_key[key]
            record.result = dataclasses.replace(
                record.result, body=b'', body_dropped=True
            )

    def _ensure_capacity(self) -> None:
        self._expire()
        key_count = len(self._records_by_key) + len(
            self._expiries_by_issued_key
        )
        if key_count >= self._max_records:
            raise errors.TooManyKeysError(
                f'the table of keys is full: it holds {key_count}'
            )

    def _expire(self) -> None:
        now = self._clock.monotonic()
        while self._expiry_heap and self._expiry_heap[0][0] < now:
            _, key = heapq.heappop(self._expiry_heap)
            if self._expiries_by_issued_key.get(key, now) < now:
                del self._expiries_by_issued_key[key]
            record = self._records_by_key.get(key)
            if (
                record
                and record.completed.is_set()
                and record.keep_until < now
            ):
                self.remove(key)
