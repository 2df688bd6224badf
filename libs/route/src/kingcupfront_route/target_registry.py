"""The targets that an entry knows, and which of them are usable."""

from collections.abc import Collection
import random
import typing

from kingcupfront_route import circuit_breaker
from kingcupfront_route import pool
from kingcupfront_route import target

MAX_OPEN_FRACTION = 0.5
REPORT_SILENCE_SECONDS = 10.0


class TargetRegistry:
    """Keeps the usable targets of each service apart from the others.

    :param rng: the source of random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.targets_by_id: dict[str, target.Target] = {}
        self._pools_by_service: dict[str, pool.Pool] = {}
        self._known_by_service: dict[str, int] = {}
        self._circuits_by_id: dict[str, circuit_breaker.CircuitBreaker] = {}
        self._open_by_id: dict[str, target.Target] = {}

    def set_targets(self, targets: list[target.Target]) -> list[str]:
        """Replace the known targets, keeping the state of those that stay.

        :param targets: the targets of the newest list.
        :returns: ids of targets that are gone or were replaced.
        """
        fresh = {}
        for item in targets:
            known = self.targets_by_id.get(item.id)
            if known is not None and known.address == item.address:
                known.leaving = item.leaving
                known.slots = item.slots
                item = known
            fresh[item.id] = item
        gone = [
            key
            for key, item in self.targets_by_id.items()
            if fresh.get(key) is not item
        ]
        for key in gone:
            self._circuits_by_id.pop(key, None)
            self._open_by_id.pop(key, None)
        self.targets_by_id = fresh
        self._rebuild()
        return gone

    def _rebuild(self) -> None:
        self._pools_by_service = {}
        self._known_by_service = {}
        for item in self.targets_by_id.values():
            counts = self._known_by_service
            counts[item.service] = counts.get(item.service, 0) + 1
            usable = self._pools_by_service.setdefault(
                item.service, pool.Pool()
            )
            if not item.is_leaving and item.id not in self._open_by_id:
                usable.add(item)
        self._set_homes()

    def _set_homes(self) -> None:
        ids: dict[str, dict[str, list[str]]] = {}
        for key in sorted(self.targets_by_id):
            item = self.targets_by_id[key]
            places = ids.setdefault(item.service, {})
            places.setdefault(item.place, []).append(key)
        for service, ids_by_place in ids.items():
            self._pools_by_service[service].set_homes(ids_by_place)

    def observe_report(self, target_id: str, load: target.LoadReport) -> bool:
        """Take in a load report.

        One with a lower number than the last is ignored, unless the last is
        so old that the target's process must have been replaced.

        :param target_id: the target's id.
        :param load: the report.
        :returns: whether it was taken in.
        """
        item = self.targets_by_id.get(target_id)
        if item is None or not load.is_plausible:
            return False
        last = item.report
        if (
            last is not None
            and load.number <= last.number
            and load.taken_at - last.taken_at < REPORT_SILENCE_SECONDS
        ):
            return False
        item.report = load
        usable = self._pools_by_service[item.service]
        if item.is_leaving:
            usable.discard(item)
        elif item.id not in self._open_by_id:
            usable.add(item)
        return True

    def pool(self, service: str) -> pool.Pool | None:
        """Return the usable targets of a service."""
        return self._pools_by_service.get(service)

    def serves(self, service: str, excluded: Collection[str]) -> bool:
        """Return whether a target is left, now or when its circuit closes.

        :param service: the service's name.
        :param excluded: ids to leave out.
        """
        usable = self._pools_by_service.get(service)
        if usable is None:
            return False
        left_out = sum(1 for key in set(excluded) if key in usable)
        return len(usable) > left_out or any(
            item.service == service and not item.is_leaving
            for key, item in self._open_by_id.items()
            if key not in excluded
        )

    def start(self, item: target.Target, now: float) -> None:
        """Note that a job was sent to a target."""
        known = self._circuits_by_id.get(item.id)
        if known is not None and known.opens_until is not None:
            known.start(now)
            self._close_off(item)

    def record(
        self, item: target.Target, is_success: bool, now: float
    ) -> None:
        """Take in how a job on a target ended.

        :param item: the target.
        :param is_success: whether it served the job.
        :param now: the monotonic time in seconds.
        """
        if self.targets_by_id.get(item.id) is not item:
            return
        known = self._circuits_by_id.get(item.id)
        if known is None:
            if is_success:
                return
            known = circuit_breaker.CircuitBreaker(self._rng)
            self._circuits_by_id[item.id] = known
        if not is_success:
            known.fail(now)
            if known.opens_until is not None:
                self._close_off(item)
            return
        known.succeed()
        if self._open_by_id.pop(item.id, None) is not None:
            self._restore(item)

    def refresh(self, now: float) -> None:
        """Let a probe pass to each target whose circuit is half open."""
        if not self._open_by_id:
            return
        for key, item in list(self._open_by_id.items()):
            state = self._circuits_by_id[key].state(now)
            if state is circuit_breaker.State.HALF_OPEN:
                del self._open_by_id[key]
                self._restore(item)

    def as_dict(self, now: float) -> dict[str, typing.Any]:
        """Return the targets for a state dump."""
        return {
            key: {
                'service': item.service,
                'place': item.place,
                'outstanding': item.outstanding,
                'leaving': item.is_leaving,
                'circuit': self._circuit_name(key, now),
            }
            for key, item in self.targets_by_id.items()
        }

    def _circuit_name(self, key: str, now: float) -> str:
        known = self._circuits_by_id.get(key)
        state = (
            circuit_breaker.State.CLOSED if known is None else known.state(now)
        )
        return str(state)

    def _close_off(self, item: target.Target) -> None:
        """Take a target out, unless most of its service is out already."""
        if item.id in self._open_by_id:
            return
        is_open = sum(
            1
            for other in self._open_by_id.values()
            if other.service == item.service
        )
        most = MAX_OPEN_FRACTION * self._known_by_service[item.service]
        if is_open + 1 > most:
            return
        self._open_by_id[item.id] = item
        self._pools_by_service[item.service].discard(item)

    def _restore(self, item: target.Target) -> None:
        if not item.is_leaving:
            self._pools_by_service[item.service].add(item)
