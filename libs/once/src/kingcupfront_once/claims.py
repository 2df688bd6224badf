"""The claims on idempotency keys that this process has granted."""

import heapq
import typing

from kingcupfront_core import clock
from kingcupfront_once import caller_key
from kingcupfront_once import errors

MAX_CLAIMS = 50_000
# The lifetime of a key, plus the clock skew at its start and at its end.
RETENTION_SECONDS = (
    caller_key.LIFETIME_SECONDS + 2 * caller_key.MAX_CLOCK_SKEW_SECONDS
)


class ClaimTable:
    """Grants each key to the first holder that claims it.

    Only the holder of a key may run its call. A claim cannot be released; it
    is kept until no entry accepts the key any more.

    >>> claims = ClaimTable()
    >>> claims.claim('key', 'entry-1'), claims.claim('key', 'entry-2')
    ('entry-1', 'entry-1')

    :param time: the clock.
    :param max_claims: the largest number of claims.
    """

    def __init__(
        self, time: clock.Clock = clock.SYSTEM, max_claims: int = MAX_CLAIMS
    ) -> None:
        self._clock = time
        self._max_claims = max_claims
        self._holders_by_key: dict[str, str] = {}
        self._expiry_heap: list[tuple[float, str]] = []

    def claim(self, key: str, holder: str) -> str:
        """Claim a key and return its holder.

        :param key: the digest of the key.
        :param holder: the claimant; becomes the holder if the key has none.
        :raises TooManyKeysError: if the table is full.
        """
        self._expire()
        recorded_holder = self._holders_by_key.get(key)
        if recorded_holder is not None:
            return recorded_holder
        if len(self._holders_by_key) >= self._max_claims:
            raise errors.TooManyKeysError(
                f'the table of claims is full: it holds {self._max_claims}'
            )
        self._holders_by_key[key] = holder
        expires_at = self._clock.monotonic() + RETENTION_SECONDS
        heapq.heappush(self._expiry_heap, (expires_at, key))
        return holder

    def holder_of(self, key: str) -> str | None:
        """Return the holder of a key, or None if it has not been claimed.

        :param key: the digest of the key.
        """
        self._expire()
        return self._holders_by_key.get(key)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the number of claims for a state dump."""
        return {'claims': len(self._holders_by_key)}

    def _expire(self) -> None:
        now = self._clock.monotonic()
        while self._expiry_heap and self._expiry_heap[0][0] < now:
            _, key = heapq.heappop(self._expiry_heap)
            del self._holders_by_key[key]
