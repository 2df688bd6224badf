"""Whether what a process knows is recent enough to act on.

Load pattern: instances that are cut off from the directory while keys are
taken away. An instance must stop by itself, by its own clock.
"""

# Covers clocks that run at slightly different rates.
MARGIN_SECONDS = 0.25
# A quiet view is not older than 2.7 seconds, also one that a peer told. Past
# this age an unknown key or route may be new.
TRUSTED_ABSENCE_SECONDS = 3.2


class Freshness:
    """The age of the last confirmed view of the directory.

    :param bound: seconds after which a key that was taken away must not
        work any more.
    """

    def __init__(self, revocation_seconds: float) -> None:
        self.revocation_seconds = revocation_seconds
        self._confirmed_at: float | None = None

    def confirm(self, asked_at: float) -> None:
        """Take in that a view was current when it was asked for.

        :param asked_at: the second at which the call was sent.
        """
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    def age(self, now: float) -> float:
        """Return the seconds since the view was known to be current."""
        if self._confirmed_at is None:
            return float('inf')
        return now - self._confirmed_at

    def can_trust_keys(self, now: float) -> bool:
        """Return whether keys can still be trusted."""
        return self.age(now) < self.revocation_seconds - MARGIN_SECONDS

    def can_trust_absence(self, now: float) -> bool:
        """Return whether what is not known can be taken as not existing."""
        return self.age(now) < TRUSTED_ABSENCE_SECONDS
