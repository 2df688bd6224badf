"""Whether the known state of the directory is recent enough to act on.

Load pattern: keys are revoked while some instances are cut off from the
directory. Such an instance must stop accepting keys by its own clock.
"""

# Covers clocks that run at slightly different rates.
CLOCK_MARGIN_SECONDS = 0.25
# Without changes a view is at most 2.7 s old, also one fetched from a peer.
# Beyond this age an unknown key or route may be a new one.
MAX_AGE_TO_TRUST_ABSENCE_SECONDS = 3.2


class Freshness:
    """Tracks the age of the last confirmed view of the directory.

    :param revocation_seconds: time within which a revoked key must stop
        working.
    """

    def __init__(self, revocation_seconds: float) -> None:
        self.revocation_seconds = revocation_seconds
        self._confirmed_at: float | None = None

    def confirm(self, requested_at: float) -> None:
        """Record that a view was current when it was requested.

        :param requested_at: when the request was sent, in seconds.
        """
        if self._confirmed_at is None or requested_at > self._confirmed_at:
            self._confirmed_at = requested_at

    def age(self, now: float) -> float:
        """Return the seconds since the view was last known to be current."""
        if self._confirmed_at is None:
            return float('inf')
        return now - self._confirmed_at

    def can_trust_keys(self, now: float) -> bool:
        """Return whether known keys may still be accepted."""
        return self.age(now) < self.revocation_seconds - CLOCK_MARGIN_SECONDS

    def can_trust_absence(self, now: float) -> bool:
        """Return whether an unknown key or route may be taken as absent."""
        return self.age(now) < MAX_AGE_TO_TRUST_ABSENCE_SECONDS
