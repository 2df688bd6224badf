"""Promises to let nobody but one holder run a key."""

import heapq
import typing

from kingcupfront_core import clock
from kingcupfront_once import caller_key
from kingcupfront_once import errors

MAX_CLAIMS = 50_000
RETENTION_SECONDS = (
    caller_key.LIFETIME_SECONDS + 2 * caller_key.MAX_CLOCK_SKEW_SECONDS
)


class ClaimTable:
    """The holder of each key, as this process has promised.

    The first holder stays until no entry accepts the key any more; there
    is no release.

    >>> claims = ClaimTable()
    >>> claims.claim('key', 'entry-1'), claims.claim('key', 'entry-2')
    ('entry-1', 'entry-1')

    :param time: the clock.
    :param max_claims: bound on the keys held.
    """

    def __init__(
        self, time: clock.Clock = clock.SYSTEM, max_claims: int = MAX_CLAIMS
    ) -> None:
        self._clock = time
        self._max_claims = max_claims
        self._holders_by_key: dict[str, str] = {}
        self._expiry_heap: list[tuple[float, str]] = []

    def claim(self, key: str, holder: str) -> str:
        """Return who holds a key; the one that asks, if nobody did.

        :param key: the key's digest.
        :param holder: who asks.
        :raises TooManyKeysError: if no more keys can be held.
        """
        self._expire()
        recorded_holder = self._holders_by_key.get(key)
        if recorded_holder is not None:
            return recorded_holder
        if len(self._holders_by_key) >= self._max_claims:
            raise errors.TooManyKeysError('no more keys can be held')
        self._holders_by_key[key] = holder
        expires_at = self._clock.monotonic() + RETENTION_SECONDS
        heapq.heappush(self._expiry_heap, (expires_at, key))
        return holder

    def holder_of(self, key: str) -> str | None:
        """Return who holds a key, if anybody does.

        :param key: the key's digest.
        """
        self._expire()
        return self._holders_by_key.get(key)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return counts for a state dump."""
        return {'claims': len(self._holders_by_key)}

    def _expire(self) -> None:
        now = self._clock.monotonic()
        while self._expiry_heap and self._expiry_heap[0][0] < now:
            _, key = heapq.heappop(self._expiry_heap)
            del self._holders_by_key[key]
