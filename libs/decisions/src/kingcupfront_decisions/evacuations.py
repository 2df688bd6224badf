"""The data centres to whose targets nothing new may be sent.

Load pattern: all targets of a data centre are taken out at once while its
callers keep sending, and are all cold when it comes back.
"""

from collections.abc import Iterable

# After a restore of the directory the operator writes lost evacuations again
# within this time.
REWRITE_SECONDS = 6.0


class Evacuations:
    """The data centres that are being evacuated.

    :ivar revisions_by_zone: for each such data centre the revision of the
        directory that started its evacuation.
    """

    def __init__(self) -> None:
        self.revisions_by_zone: dict[str, int] = {}
        # Until when those stay that the restored directory may have lost.
        self._kept_until_by_zone: dict[str, float] = {}

    def __contains__(self, zone: str) -> bool:
        return zone in self.revisions_by_zone

    def start(self, zone: str, revision: int) -> bool:
        """Start an evacuation; return whether it is a new one."""
        is_new = zone not in self.revisions_by_zone
        is_confirmed = self._kept_until_by_zone.pop(zone, None) is not None
        if is_new or is_confirmed:
            self.revisions_by_zone[zone] = revision
        return is_new

    def end(self, zone: str) -> bool:
        """End an evacuation; return whether there was one."""
        self._kept_until_by_zone.pop(zone, None)
        return self.revisions_by_zone.pop(zone, None) is not None

    def keep_after_restore(self, now: float) -> None:
        """Keep all of them for a while, even if they are not listed."""
        for zone in self.revisions_by_zone:
            self._kept_until_by_zone[zone] = now + REWRITE_SECONDS

    def missing(self, listed: Iterable[str], now: float) -> list[str]:
        """Return the data centres under evacuation that are not listed.

        Those that are kept after a restore are left out.
        """
        return sorted(
            zone
            for zone in set(self.revisions_by_zone) - set(listed)
            if self._kept_until_by_zone.get(zone, now) <= now
        )

    def expired(self, now: float) -> list[str]:
        """Return those that were kept and have not been listed again."""
        return sorted(
            zone
            for zone, until in self._kept_until_by_zone.items()
            if until <= now
        )
