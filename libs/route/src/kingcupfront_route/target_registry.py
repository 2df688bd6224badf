"""The registry of the targets that an entry knows."""

from collections.abc import Collection
import random
import typing

from kingcupfront_route import circuit_breaker
from kingcupfront_route import pool
from kingcupfront_route import target as targets

MAX_EJECTED_FRACTION = 0.5
REPORT_NUMBER_RESET_SECONDS = 10.0


class TargetRegistry:
    """Holds the known targets and the pools of usable ones by service.

    A target is usable unless it is leaving or was ejected, that is, taken
    out of its pool while its circuit breaker is open.

    :param rng: the source of random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.targets_by_id: dict[str, targets.Target] = {}
        self._pools_by_service: dict[str, pool.Pool] = {}
        self._target_counts_by_service: dict[str, int] = {}
        self._breakers_by_id: dict[str, circuit_breaker.CircuitBreaker] = {}
        self._ejected_by_id: dict[str, targets.Target] = {}

    def set_targets(self, listed_targets: list[targets.Target]) -> list[str]:
        """Replace the known targets, keeping the state of those that stay.

        :param listed_targets: the targets of the newest instance list.
        :returns: ids of targets that were removed or replaced.
        """
        updated_by_id = {}
        for target in listed_targets:
            known = self.targets_by_id.get(target.id)
            if known is not None and known.address == target.address:
                known.leaving = target.leaving
                known.slots = target.slots
                target = known
            updated_by_id[target.id] = target
        removed_ids = [
            target_id
            for target_id, target in self.targets_by_id.items()
            if updated_by_id.get(target_id) is not target
        ]
        for target_id in removed_ids:
            self._breakers_by_id.pop(target_id, None)
            self._ejected_by_id.pop(target_id, None)
        self.targets_by_id = updated_by_id
        self._rebuild()
        return removed_ids

    def _rebuild(self) -> None:
        self._pools_by_service = {}
        self._target_counts_by_service = {}
        for target in self.targets_by_id.values():
            counts = self._target_counts_by_service
            counts[target.service] = counts.get(target.service, 0) + 1
            usable = self._pools_by_service.setdefault(
                target.service, pool.Pool()
            )
            if not target.is_leaving and target.id not in self._ejected_by_id:
                usable.add(target)
        self._set_affinity_ids()

    def _set_affinity_ids(self) -> None:
        ids_by_service: dict[str, dict[str, list[str]]] = {}
        for target_id in sorted(self.targets_by_id):
            target = self.targets_by_id[target_id]
            ids_by_place = ids_by_service.setdefault(target.service, {})
            ids_by_place.setdefault(target.place, []).append(target_id)
        for service, ids_by_place in ids_by_service.items():
            self._pools_by_service[service].set_affinity_ids(ids_by_place)

    def observe_report(
        self, target_id: str, report: targets.LoadReport
    ) -> bool:
        """Apply a load report.

        A report whose number isn't above that of the last one is ignored,
        unless the last one is so old that the target's process must have
        been replaced, which starts the numbers again.

        :param target_id: the target's id.
        :param report: the report.
        :returns: whether it was applied.
        """
        target = self.targets_by_id.get(target_id)
        if target is None or not report.is_plausible:
            return False
        last = target.report
        if (
            last is not None
            and report.number <= last.number
            and report.taken_at - last.taken_at < REPORT_NUMBER_RESET_SECONDS
        ):
            return False
        target.report = report
        usable = self._pools_by_service[target.service]
        if target.is_leaving:
            usable.discard(target)
        elif target.id not in self._ejected_by_id:
            usable.add(target)
        return True

    def pool(self, service: str) -> pool.Pool | None:
        """Return the usable targets of a service."""
        return self._pools_by_service.get(service)

    def has_target(self, service: str, excluded: Collection[str]) -> bool:
        """Return whether a service has a target, usable or only ejected.

        :param service: the service's name.
        :param excluded: ids to leave out.
        """
        usable = self._pools_by_service.get(service)
        if usable is None:
            return False
        excluded_count = sum(
            1 for target_id in set(excluded) if target_id in usable
        )
        return len(usable) > excluded_count or any(
            target.service == service and not target.is_leaving
            for target_id, target in self._ejected_by_id.items()
            if target_id not in excluded
        )

    def record_start(self, target: targets.Target, now: float) -> None:
        """Record that a request was sent to a target."""
        breaker = self._breakers_by_id.get(target.id)
        if breaker is not None and breaker.open_until is not None:
            breaker.record_start(now)
            self._eject(target)

    def record_result(
        self, target: targets.Target, is_success: bool, now: float
    ) -> None:
        """Record how a request on a target ended.

        :param target: the target.
        :param is_success: whether the target served the request.
        :param now: the monotonic time in seconds.
        """
        if self.targets_by_id.get(target.id) is not target:
            return
        breaker = self._breakers_by_id.get(target.id)
        if breaker is None:
            if is_success:
                return
            breaker = circuit_breaker.CircuitBreaker(self._rng)
            self._breakers_by_id[target.id] = breaker
        if not is_success:
            breaker.record_failure(now)
            if breaker.open_until is not None:
                self._eject(target)
            return
        breaker.record_success()
        if self._ejected_by_id.pop(target.id, None) is not None:
            self._readmit(target)

    def readmit_half_open(self, now: float) -> None:
        """Put the targets whose circuit is half open back into their pools."""
        if not self._ejected_by_id:
            return
        for target_id, target in list(self._ejected_by_id.items()):
            state = self._breakers_by_id[target_id].state(now)
            if state is circuit_breaker.State.HALF_OPEN:
                del self._ejected_by_id[target_id]
                self._readmit(target)

    def as_dict(self, now: float) -> dict[str, typing.Any]:
        """Return the state of the targets for a dump."""
        return {
            target_id: {
                'service': target.service,
                'place': target.place,
                'outstanding': target.outstanding,
                'leaving': target.is_leaving,
                'circuit': self._circuit_state(target_id, now),
            }
            for target_id, target in self.targets_by_id.items()
        }

    def _circuit_state(self, target_id: str, now: float) -> str:
        breaker = self._breakers_by_id.get(target_id)
        state = (
            circuit_breaker.State.CLOSED
            if breaker is None
            else breaker.state(now)
        )
        return str(state)

    def _eject(self, target: targets.Target) -> None:
        """Eject a target unless too many of its service are ejected."""
        if target.id in self._ejected_by_id:
            return
        ejected_count = sum(
            1
            for other in self._ejected_by_id.values()
            if other.service == target.service
        )
        max_ejected = (
            MAX_EJECTED_FRACTION
            * self._target_counts_by_service[target.service]
        )
        if ejected_count + 1 > max_ejected:
            return
        self._ejected_by_id[target.id] = target
        self._pools_by_service[target.service].discard(target)

    def _readmit(self, target: targets.Target) -> None:
        if not target.is_leaving:
            self._pools_by_service[target.service].add(target)
