"""Which software version may carry on a stream that has begun.

Load pattern: targets of several software versions serve side by side for
minutes while a release goes on, and callers take up broken streams at any
instance. What two versions write does not fit together. Versions have no
order, and a target's id may come back with another version.
"""

import collections
from collections.abc import Iterable
import dataclasses

# The longest time for which a caller may take up a stream.
ORIGIN_SECONDS = 120.0
# A gateway of the planned size gets 136 records a second at the most.
MAX_ORIGINS = 16_384
# Versions of targets that are gone are remembered for this long.
GONE_SECONDS = 300.0


@dataclasses.dataclass(frozen=True)
class Begun:
    """The software version whose target wrote a stream's first event.

    :param version: the version; None if it is not known.
    :param start: the start of that target, as ``start_key`` names it; empty if
        it is not known.
    """

    version: str | None
    start: str = ''


def start_key(target_id: str, born: int) -> str:
    """Return the name of one start of a target."""
    return f'{target_id}/{born}'


def may_carry_on(begun: Begun | None, version: str | None) -> bool:
    """Return whether a target may carry on a stream.

    :param begun: how the stream began; None before its first event.
    :param version: the software version of the target; None if not known.
    """
    return begun is None or (
        begun.version is not None and begun.version == version
    )


class Origins:
    """The version of each stream that a caller may take up, by its id."""

    def __init__(self) -> None:
        # None where instances disagree.
        self._begun_by_id: collections.OrderedDict[
            str, tuple[Begun, float]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._begun_by_id)

    def record(self, stream_id: str, begun: Begun, now: float) -> bool:
        """Record how a stream began.

        :param stream_id: the id of the request that brought its first event.
        :param now: the current monotonic time in seconds.
        :returns: whether this was not known.
        """
        known = self.find(stream_id, now)
        if known is not None and known.version != begun.version:
            begun = Begun(None)
        self._begun_by_id[stream_id] = begun, now
        self._begun_by_id.move_to_end(stream_id)
        if len(self._begun_by_id) > MAX_ORIGINS:
            self._begun_by_id.popitem(last=False)
        return known is None

    def find(self, stream_id: str, now: float) -> Begun | None:
        """Return how a stream began; None if nothing is recorded of it."""
        begun, recorded_at = self._begun_by_id.get(
            stream_id, (None, float('-inf'))
        )
        return None if now - recorded_at > ORIGIN_SECONDS else begun

    def since(self, moment: float) -> dict[str, Begun]:
        """Return what was recorded after a moment, by id."""
        found = {}
        for stream_id, (begun, at) in reversed(self._begun_by_id.items()):
            if at < moment:
                break
            found[stream_id] = begun
        return found


class History:
    """The software versions of each service, now and a while ago."""

    def __init__(self) -> None:
        self._listed_by_service: dict[
            str, collections.Counter[str | None]
        ] = {}
        self._gone_at_by_service: dict[str, dict[str | None, float]] = {}

    def add(self, service: str, version: str | None) -> None:
        """Record that a target is listed."""
        listed = self._listed_by_service.setdefault(
            service, collections.Counter()
        )
        listed[version] += 1

    def remove(self, service: str, version: str | None, now: float) -> None:
        """Record that a target is no longer listed."""
        listed = self._listed_by_service.get(service, collections.Counter())
        listed[version] -= 1
        if listed[version] <= 0:
            del listed[version]
        gone = self._gone_at_by_service.setdefault(service, {})
        gone[version] = now
        for other, at in list(gone.items()):
            if now - at > GONE_SECONDS:
                del gone[other]

    def versions(self, service: str, since: float) -> set[str | None]:
        """Return the versions that were listed at a moment or later."""
        gone = self._gone_at_by_service.get(service, {})
        return {
            *self._listed_by_service.get(service, ()),
            *(version for version, at in gone.items() if at >= since),
        }

    def versions_of(
        self, services: Iterable[str], since: float
    ) -> set[str | None]:
        """Return the versions of several services."""
        return {
            version
            for service in services
            for version in self.versions(service, since)
        }

    def is_mixed(self, service: str, since: float) -> bool:
        """Return whether more than one version was listed since a moment."""
        return len(self.versions(service, since)) > 1

    def are_mixed(self, since: float) -> bool:
        """Return whether more than one version was listed of any service.

        Routes may have several services, so one version each does not do.
        """
        services = {*self._listed_by_service, *self._gone_at_by_service}
        return len(self.versions_of(services, since)) > 1

    def sole_version(
        self, services: Iterable[str], since: float, now: float
    ) -> Begun | None:
        """Return the one version of some services since a moment.

        :returns: None if there were several, or none, or if versions that
            were gone after that moment may be forgotten.
        """
        if now - since > GONE_SECONDS:
            return None
        found = self.versions_of(services, since)
        if len(found) != 1 or None in found:
            return None
        return Begun(found.pop())

    def as_dict(self) -> dict[str, dict[str, int]]:
        """Return the listed targets by service and version, for dumps."""
        return {
            service: {str(version): count for version, count in listed.items()}
            for service, listed in self._listed_by_service.items()
        }
