"""The targets known to an instance and their observed state."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import logging
import weakref

from gevent import event

from kingcupfront_decisions import software_versions
from kingcupfront_gateway import announcements
from kingcupfront_gateway import clocks
from kingcupfront_gateway import engine_load
from kingcupfront_gateway import objects

LOG = logging.getLogger(__name__)

# Weight of the newest result in a target's moving average of failures.
RESULT_WEIGHT = 0.2
# Half-life of the failure share, so that a failed target is tried again.
FAILURE_HALF_LIFE_SECONDS = 3.0
# Targets whose entries expired while the directory was away register again
# within two seconds of its return, according to the platform's documentation.
REREGISTRATION_SECONDS = 2.0
# After unbroken contact for this long, a target that disappears from the
# directory was removed and did not expire during an outage.
STABLE_CONTACT_SECONDS = 4.0
# Bounds the memory for targets that left or asked for silence.
MAX_REMEMBERED_STARTS = 4096
# Bounds the memory for starts whose entries named several software versions.
MAX_AMBIGUOUS_STARTS = 4096


class Signs:
    """What one start of a target has said of itself in its replies."""

    def __init__(self) -> None:
        self.is_leaving = False
        # Monotonic time until which it asked to be sent nothing.
        self.silent_until = 0.0
        # After a silence one request at a time is sent until one succeeds.
        self.is_on_probation = False
        # Monotonic time until which it is cold.
        self.cold_until = 0.0
        self.is_logged_as_cold = False
        # Whether entries of this start name several software versions.
        self.has_ambiguous_version = False


class TargetState:
    """One target and its state as observed by this instance.

    :param target: the target as listed in the directory.
    :param service: its service; None if the configuration has no such one.
    :param signs: what this start of it has said of itself; None if nothing.
    """

    def __init__(
        self,
        target: objects.Target,
        service: objects.Service | None,
        signs: Signs | None = None,
    ) -> None:
        self.target = target
        self.in_flight = 0
        self.reported_leaving = False
        self.is_removed = False
        # Whether a later start with the same id and address has replaced it.
        self.is_replaced = False
        self.signs = Signs() if signs is None else signs
        # Whether new generations may be sent to it.
        self.is_engine = False
        self.service: objects.Service | None = None
        # Generations that run rely on it, so it is never reset to None.
        self.load: engine_load.EngineLoad | None = None
        self.set_service(service)
        self._last_failure_share = 0.0
        self._last_result_at = 0.0
        self.failure_share = 0.0

    def set_service(self, service: objects.Service | None) -> None:
        """Apply the configuration of the target's service.

        :param service: None if it is no longer configured. Its generations
            run on, and may be migrated among its engines.
        """
        if service is None:
            return
        self.service = service
        self.is_engine = service.engine is not None
        if service.engine is None:
            return
        if self.load is None:
            self.load = engine_load.EngineLoad(service.engine)
        else:
            self.load.capacity = service.engine

    @property
    def is_leaving(self) -> bool:
        """Whether the target accepts no new work."""
        return (
            self.target.is_leaving
            or self.reported_leaving
            or self.signs.is_leaving
            or self.is_removed
            or self.is_replaced
        )

    @property
    def silent_until(self) -> float:
        """Monotonic time until which it asked to be sent nothing."""
        return self.signs.silent_until

    @property
    def is_on_probation(self) -> bool:
        """Whether one request at a time is sent until one succeeds."""
        return self.signs.is_on_probation

    @is_on_probation.setter
    def is_on_probation(self, is_on_probation: bool) -> None:
        self.signs.is_on_probation = is_on_probation

    @property
    def start(self) -> str:
        """The name of this start of the target."""
        return software_versions.start_key(self.target.id, self.target.born)

    @property
    def software_version(self) -> str | None:
        """The version of its software; None if it is not known."""
        if self.signs.has_ambiguous_version or self.is_replaced:
            return None
        return self.target.software_version

    def accepts_work(self, now: float) -> bool:
        """Return whether new work may be sent to the target."""
        return (
            not self.is_leaving
            and self.silent_until <= now
            and not (self.is_on_probation and self.in_flight)
        )

    def record_result(self, ok: bool, now: float) -> None:
        """Record the result of a request.

        :param ok: whether the target served it.
        """
        if ok:
            self.is_on_probation = False
        previous = self.update_failure_share(now) * (1 - RESULT_WEIGHT)
        self._last_failure_share = previous + (0 if ok else RESULT_WEIGHT)
        self._last_result_at = now
        self.failure_share = self._last_failure_share

    def update_failure_share(self, now: float) -> float:
        """Decay the failure share to the present and return it."""
        age = max(0.0, now - self._last_result_at)
        self.failure_share = self._last_failure_share * 0.5 ** (
            age / FAILURE_HALF_LIFE_SECONDS
        )
        return self.failure_share


class Targets:
    """All known targets by id, kept in sync with the directory.

    :param clock: tells when a target is no longer listed.
    """

    def __init__(self, clock: clocks.BootClock = clocks.BOOT) -> None:
        self._clock = clock
        self.by_id: dict[str, TargetState] = {}
        self.changed = event.Event()
        self.versions = software_versions.History()
        # Starts whose entries named several versions, the last ones.
        self._ambiguous_starts: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._listed_version_by_id: dict[str, tuple[str, str | None]] = {}
        # Set when a service has got a further software version.
        self.version_added = event.Event()
        # Whether the directory has eras, so that it may list older entries.
        self.has_eras = False
        # Monotonic time since which all targets are known; None before.
        self.listed_since: float | None = None
        self._announcements = announcements.Announcements()
        self._missing_since_by_id: dict[str, float] = {}
        self._services_by_name: dict[str, objects.Service] = {}
        # All states of one start share its signs, also those that requests
        # use whose target was not listed meanwhile.
        self._signs_by_start: weakref.WeakValueDictionary[
            tuple[str, int], Signs
        ] = weakref.WeakValueDictionary()
        # Keeps what was said while neither the directory nor a request knows
        # the target.
        self._remembered_signs_by_start: collections.OrderedDict[
            tuple[str, int], Signs
        ] = collections.OrderedDict()

    def set_services(
        self, services_by_name: dict[str, objects.Service]
    ) -> None:
        """Set the services, which determine which targets are engines."""
        self._services_by_name = services_by_name
        for state in self.by_id.values():
            state.set_service(services_by_name.get(state.target.service))
        self.notify()

    def upsert(self, target: objects.Target) -> bool:
        """Add a target or update its entry.

        A target with another start time is a new instance and loses the
        observed state of the earlier one.

        :returns: whether the entry is a new one.
        """
        newest = self._announcements.newest(target)
        if self.has_eras:
            target = newest
        self._missing_since_by_id.pop(target.id, None)
        state = self.by_id.get(target.id)
        if state is None or state.target.born != target.born:
            service = self._services_by_name.get(target.service)
            signs = self._signs_by_start.setdefault(
                (target.id, target.born), Signs()
            )
            if state is not None:
                state.is_removed = True
                self._forget_version(target.id)
            self.by_id[target.id] = TargetState(target, service, signs)
            self._note_version(self.by_id[target.id])
            _log_change('target_added', target)
        elif state.target != target:
            was_leaving = state.is_leaving
            self._forget_version(target.id)
            if state.target.software_version != target.software_version:
                state.signs.has_ambiguous_version = True
                self._note_ambiguous(state)
            state.target = target
            self._note_version(state)
            state.set_service(self._services_by_name.get(target.service))
            if target.is_leaving and not was_leaving:
                _log_change('target_leaving', target)
        else:
            self.notify()
            return False
        self.notify()
        return True

    def _note_ambiguous(self, state: TargetState) -> None:
        self._ambiguous_starts[state.start] = None
        if len(self._ambiguous_starts) > MAX_AMBIGUOUS_STARTS:
            self._ambiguous_starts.popitem(last=False)

    def checked(
        self, begun: software_versions.Begun | None
    ) -> software_versions.Begun | None:
        """Return how a stream began, by what is known of its target now.

        Entries of that start may have named another version since.
        """
        if begun is not None and begun.start in self._ambiguous_starts:
            return dataclasses.replace(begun, version=None)
        return begun

    def _note_version(self, state: TargetState) -> None:
        service, version = state.target.service, state.software_version
        self._listed_version_by_id[state.target.id] = service, version
        is_new = version not in self.versions.versions(service, float('inf'))
        self.versions.add(service, version)
        if is_new:
            self.version_added.set()

    def _forget_version(self, target_id: str) -> None:
        service, version = self._listed_version_by_id.pop(target_id)
        self.versions.remove(service, version, self._clock.monotonic())

    def remember_signs(self, state: TargetState) -> None:
        """Keep what a target said of itself if it is listed again."""
        remembered = self._remembered_signs_by_start
        remembered[state.target.id, state.target.born] = state.signs
        if len(remembered) > MAX_REMEMBERED_STARTS:
            remembered.popitem(last=False)

    def remove(
        self, target_id: str, now: float, reachable_since: float | None
    ) -> None:
        """Handle a target that is no longer listed.

        It is removed at once if contact with the directory is stable, and
        else by :meth:`remove_missing` if it does not register again.

        :param reachable_since: start of the unbroken contact with the
            directory, or None.
        """
        if target_id not in self.by_id:
            return
        is_contact_stable = (
            reachable_since is not None
            and now - reachable_since > STABLE_CONTACT_SECONDS
        )
        if is_contact_stable:
            self._remove(target_id)
        else:
            self._missing_since_by_id.setdefault(target_id, now)

    def replace_all(
        self, listed: tuple[objects.Target, ...], now: float
    ) -> list[objects.Target]:
        """Replace all targets by a full list, read after a loss of contact.

        :returns: those whose entry is a new one.
        """
        renewed = [target for target in listed if self.upsert(target)]
        for target_id in set(self.by_id) - {t.id for t in listed}:
            self.remove(target_id, now, None)
        if self.listed_since is None:
            self.listed_since = now
        return renewed

    def remove_missing(
        self, now: float, reachable_since: float | None
    ) -> None:
        """Remove targets that did not register again after an outage."""
        if reachable_since is None:
            return
        for target_id, since in list(self._missing_since_by_id.items()):
            if now - max(since, reachable_since) > REREGISTRATION_SECONDS:
                self._remove(target_id)

    def seconds_until_removal(
        self, now: float, reachable_since: float | None
    ) -> float:
        """Return when :meth:`remove_missing` next removes a target.

        :returns: seconds from now; infinite if none is missing or the
            directory is away.
        """
        if reachable_since is None or not self._missing_since_by_id:
            return float('inf')
        first = min(self._missing_since_by_id.values())
        return max(first, reachable_since) + REREGISTRATION_SECONDS - now

    def _remove(self, target_id: str) -> None:
        self._missing_since_by_id.pop(target_id, None)
        state = self.by_id.pop(target_id)
        state.is_removed = True
        self._forget_version(target_id)
        _log_change('target_gone', state.target)
        self.notify()

    def available(self, service: str, now: float) -> Iterator[TargetState]:
        """Yield the targets of a service that accept new work."""
        for state in self.by_id.values():
            if state.target.service == service and state.accepts_work(now):
                state.update_failure_share(now)
                yield state

    def first_return(
        self, service: str, now: float, may_use: Callable[[TargetState], bool]
    ) -> float | None:
        """Return the seconds until the first silent target is back.

        None if one accepts work, or if none is silent.

        :param may_use: returns whether a target counts.
        """
        waits = [
            state.silent_until - now
            for state in self.by_id.values()
            if state.target.service == service
            and not state.is_leaving
            and may_use(state)
        ]
        return min(waits) if waits and min(waits) > 0 else None

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self.changed.set()
        self.changed.clear()


def _log_change(name: str, target: objects.Target) -> None:
    LOG.info(
        name,
        extra={
            'target': target.id,
            'service': target.service,
            'address': str(target.address),
            'place': target.zone,
            'software_version': target.software_version,
        },
    )
