"""The dispatcher of one entry: places, queues or refuses requests."""

import collections
import random
import typing

from kingcupfront_core import outcomes
from kingcupfront_route import errors
from kingcupfront_route import fair_queue
from kingcupfront_route import headroom_policy
from kingcupfront_route import ledger
from kingcupfront_route import limits
from kingcupfront_route import overload_limits
from kingcupfront_route import placement as placements
from kingcupfront_route import policy
from kingcupfront_route import policy_context
from kingcupfront_route import rate
from kingcupfront_route import retry
from kingcupfront_route import routing_request
from kingcupfront_route import target as targets
from kingcupfront_route import target_registry
from kingcupfront_route import token_rate

MAX_WAIT_SECONDS = 30.0
MAX_TEAMS_TRIED = 4
MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 60.0


class Dispatcher:
    """Places requests on targets, at once or as targets become free.

    It never blocks. The caller passes the time in and does the waiting:
    after any change it calls :meth:`dispatch_queued` and wakes the requests
    that this returns.

    :param policy_name: a name in :data:`policy.policies`.
    :param rng: the source of random numbers.
    :param entries: the number of entries, this one included.
    """

    def __init__(
        self,
        policy_name: str = headroom_policy.LATEST,
        *,
        rng: random.Random,
        entries: int = 1,
    ) -> None:
        self.context = policy_context.PolicyContext(rng, entries=entries)
        self.limits = limits.TeamLimits(entries)
        self.token_rates = token_rate.TokenRateLimits(entries)
        self.overload_limits = overload_limits.OverloadLimits()
        self.target_registry = target_registry.TargetRegistry(rng)
        self.queues_by_service: dict[str, fair_queue.FairQueue] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self._placement_rates_by_service: dict[str, rate.DecayingRate] = {}
        self._retry_budgets_by_service: dict[str, retry.RetryBudget] = {}
        self._failing_ids_by_team: dict[str, set[str]] = {}
        self.set_policy(policy_name)

    def set_policy(self, name: str) -> None:
        """Change the policy.

        :param name: a name in :data:`policy.policies`.
        :raises UnknownNameError: if there is no such policy.
        """
        self.policy_name = name
        self._policy = policy.policies.get(name)(self.context)

    def set_overload_limits(
        self, new_limits: overload_limits.OverloadLimits
    ) -> None:
        """Change the limits of queues and retries.

        Requests that are queued beyond a lower limit stay in the queue.

        :param new_limits: the limits.
        """
        self.overload_limits = new_limits
        for queue in self.queues_by_service.values():
            queue.limit = new_limits.queue_limit
        for budget in self._retry_budgets_by_service.values():
            budget.fraction = new_limits.retry_fraction

    def submit(
        self,
        request: routing_request.RoutingRequest,
        now: float,
        excluded: frozenset[str] = frozenset(),
    ) -> placements.Placement:
        """Place a request on a target or put it into the queue.

        :param request: the request.
        :param now: the monotonic time in seconds.
        :param excluded: ids of targets that were tried already.
        :returns: the placement, with a target unless it was queued.
        :raises NoTargetError: if the service has no target left to try.
        :raises OverloadedError: if the queue is full, or if the deadline
            would pass in it.
        :raises TeamLimitError: if the team is at its concurrency or token
            rate limit.
        """
        self.target_registry.readmit_half_open(now)
        if not excluded:
            self.retry_budget(request.service).deposit()
        if not self.target_registry.has_target(request.service, excluded):
            raise errors.NoTargetError(
                f'no usable target for service {request.service!r}'
            )
        wait = self.token_rates.wait_seconds(request.team, now)
        if wait and not excluded:
            raise errors.TeamLimitError(
                f'team {request.team!r} is over its token rate limit'
                f' for another {wait:.2f} s',
                wait,
            )
        if not self.limits.acquire(request.team, now):
            raise errors.TeamLimitError(
                f'team {request.team!r} is at its limit of concurrent requests'
            )
        max_wait_seconds = self.context.tuning.max_wait_fraction * (
            request.deadline - now
        )
        queue_deadline = now + min(max_wait_seconds, MAX_WAIT_SECONDS)
        placement = placements.Placement(
            request,
            excluded=excluded,
            submitted_at=now,
            queue_deadline=queue_deadline,
        )
        queue = self.queues_by_service.get(request.service)
        if not queue and self._try_place(placement, now):
            return placement
        self._enqueue(placement, now)
        return placement

    def observe_report(
        self, target_id: str, report: targets.LoadReport
    ) -> bool:
        """Apply a target's load report.

        :param target_id: the target's id.
        :param report: the report.
        :returns: whether it was applied; an outdated or implausible one
            isn't.
        """
        if not self.target_registry.observe_report(target_id, report):
            return False
        if report.total_blocks:
            service = self.target_registry.targets_by_id[target_id].service
            self.context.reporting_services.add(service)
        return True

    def retry_budget(self, service: str) -> retry.RetryBudget:
        """Return the retry budget of a service.

        :param service: the service's name.
        """
        return self._retry_budgets_by_service.setdefault(
            service, retry.RetryBudget(self.overload_limits.retry_fraction)
        )

    def dispatch_queued(self, now: float) -> list[placements.Placement]:
        """Place queued requests and refuse those that waited too long.

        :param now: the monotonic time in seconds.
        :returns: the placements that were decided, either way.
        """
        self.target_registry.readmit_half_open(now)
        decided = []
        for service, queue in self.queues_by_service.items():
            for placement in queue.pop_expired(now):
                self._refuse(
                    placement,
                    now,
                    f'no target within {now - placement.submitted_at:.1f} s',
                )
                decided.append(placement)
            decided.extend(self._place_queued(service, queue, now))
        return decided

    def cancel(self, placement: placements.Placement) -> None:
        """Remove a queued request whose caller has left."""
        queue = self.queues_by_service.get(placement.request.service)
        if queue is not None and queue.remove(placement):
            self.limits.release(placement.request.team)

    def release(self, placement: placements.Placement, now: float) -> None:
        """Record the end of a placed request and free its place on the target.

        :param placement: the placement, with its outcome and tokens.
        :param now: the monotonic time in seconds.
        """
        target, request = placement.target, placement.request
        target.outstanding -= 1
        target.ledger.add(
            ledger.LoadChange(now, -1, -placement.expected_blocks, 0)
        )
        self.limits.release(request.team)
        if placement.outcome is outcomes.Outcome.DONE:
            self._failing_ids_by_team.pop(request.team, None)
            self.target_registry.record_result(target, True, now)
            if placement.tokens:
                self.context.lengths.record(
                    request.service,
                    request.team,
                    request.max_tokens,
                    placement.tokens,
                )
        elif placement.outcome is not None and self._is_target_at_fault(
            placement
        ):
            self.target_registry.record_result(target, False, now)

    def _is_target_at_fault(self, placement: placements.Placement) -> bool:
        """Return whether a failure counts against the target.

        When a team's requests fail on one target after another and none
        succeeds in between, the requests are at fault.
        """
        if placement.outcome is not outcomes.Outcome.FAILED:
            return True
        failing_ids = self._failing_ids_by_team.setdefault(
            placement.request.team, set()
        )
        if len(failing_ids) < 2:
            failing_ids.add(placement.target.id)
        return failing_ids == {placement.target.id}

    def as_dict(self, now: float) -> dict[str, typing.Any]:
        """Return the state for a dump."""
        return {
            'policy': self.policy_name,
            'entries': self.context.entries,
            'counts': dict(self.counts),
            'queued': {
                service: queue.queued_by_team()
                for service, queue in self.queues_by_service.items()
            },
            'prefixes': len(self.context.prefixes),
            'lengths': len(self.context.lengths),
            'targets': self.target_registry.as_dict(now),
        }

    def _place_queued(
        self, service: str, queue: fair_queue.FairQueue, now: float
    ) -> list[placements.Placement]:
        placed = []
        while queue:
            for placement in queue.head_placements(MAX_TEAMS_TRIED):
                if self._try_place(placement, now):
                    weight = self.limits.weight(placement.request.team)
                    queue.pop(placement, placement.cost_tokens, weight)
                    placed.append(placement)
                    break
            else:
                break
        return placed

    def _try_place(self, placement: placements.Placement, now: float) -> bool:
        request = placement.request
        usable = self.target_registry.pool(request.service)
        if usable is None or not len(usable):
            return False
        target = self._policy.choose(request, usable, now, placement.excluded)
        if target is None:
            return False
        self._place(placement, target, now)
        return True

    def _place(
        self,
        placement: placements.Placement,
        target: targets.Target,
        now: float,
    ) -> None:
        request = placement.request
        expected_tokens = self.context.lengths.expected_remaining(
            request.service, request.team, request.max_tokens
        )
        placement.expected_blocks = (
            request.prompt_tokens + expected_tokens / 2
        ) / target.block_tokens
        placement.cost_tokens = request.prompt_tokens + expected_tokens
        placement.target = target
        placement.placed_at = now
        target.outstanding += 1
        target.ledger.add(
            ledger.LoadChange(
                now, 1, placement.expected_blocks, request.prompt_tokens
            )
        )
        self.target_registry.record_start(target, now)
        block_rates = self.context.block_rates_by_service
        block_rates.setdefault(request.service, rate.DecayingRate()).add(
            placement.expected_blocks, now
        )
        self._placement_rates_by_service.setdefault(
            request.service, rate.DecayingRate()
        ).add(1, now)
        if request.prefix:
            self.context.prefixes.add(target.id, request.prefix, now)
        self.counts['placed'] += 1

    def _enqueue(self, placement: placements.Placement, now: float) -> None:
        request = placement.request
        queue = self.queues_by_service.setdefault(
            request.service,
            fair_queue.FairQueue(self.overload_limits.queue_limit),
        )
        latest = min(request.deadline, now + MAX_WAIT_SECONDS)
        if now + self._expected_wait_seconds(queue, request, now) > latest:
            self._refuse(placement, now, 'deadline would pass in the queue')
            raise placement.error
        dropped = queue.push(placement)
        if dropped is not None:
            self._refuse(
                dropped, now, f'queue is full with {queue.limit} requests'
            )
            if dropped is placement:
                raise placement.error

    def _expected_wait_seconds(
        self,
        queue: fair_queue.FairQueue,
        request: routing_request.RoutingRequest,
        now: float,
    ) -> float:
        """Return the expected wait of a new request in seconds."""
        placement_rate = self._placement_rates_by_service.get(request.service)
        if placement_rate is None or not queue:
            return 0.0
        counts_by_team = queue.queued_by_team()
        own_ahead = queue.count_ahead(request) + 1
        weight = self.limits.weight(request.team)
        others_ahead = sum(
            min(count, own_ahead * self.limits.weight(name) / weight)
            for name, count in counts_by_team.items()
            if name != request.team
        )
        return (own_ahead + others_ahead) / max(
            placement_rate.per_second(now), 0.1
        )

    def _refuse(
        self, placement: placements.Placement, now: float, reason: str
    ) -> None:
        request = placement.request
        self.limits.release(request.team)
        queue = self.queues_by_service[request.service]
        wait = self._expected_wait_seconds(queue, request, now)
        placement.error = errors.OverloadedError(
            f'service {request.service!r} is overloaded: {reason}',
            min(max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS),
        )
        self.counts['refused'] += 1
