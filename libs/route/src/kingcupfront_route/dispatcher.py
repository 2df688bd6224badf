"""Decisions of one entry: place, queue or refuse; it never blocks."""

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
from kingcupfront_route import placement
from kingcupfront_route import policy
from kingcupfront_route import policy_context
from kingcupfront_route import rate
from kingcupfront_route import retry
from kingcupfront_route import routing_request
from kingcupfront_route import target
from kingcupfront_route import target_registry
from kingcupfront_route import token_rate

MAX_WAIT_SECONDS = 30.0
HEADS_TRIED = 4
MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 60.0


class Dispatcher:
    """Places jobs on targets, now or as they become free.

    The caller passes the time in and does the waiting: after any change it
    calls :meth:`due` and wakes the jobs that were decided.

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
        self._placed_by_service: dict[str, rate.DecayingRate] = {}
        self._budgets_by_service: dict[str, retry.RetryBudget] = {}
        self._failing_by_team: dict[str, set[str]] = {}
        self.set_policy(policy_name)

    def set_policy(self, name: str) -> None:
        """Change the policy.

        :param name: a name in :data:`policy.policies`.
        :raises UnknownNameError: if there is no such policy.
        """
        self.policy_name = name
        self._policy = policy.policies.get(name)(self.context)

    def set_overload_limits(
        self, chosen: overload_limits.OverloadLimits
    ) -> None:
        """Change the bounds of queues and retries.

        A queue that is longer already keeps what waits in it.

        :param chosen: the bounds.
        """
        self.overload_limits = chosen
        for queue in self.queues_by_service.values():
            queue.limit = chosen.queue_limit
        for budget in self._budgets_by_service.values():
            budget.fraction = chosen.retry_fraction

    def submit(
        self,
        request: routing_request.RoutingRequest,
        now: float,
        excluded: frozenset[str] = frozenset(),
    ) -> placement.Placement:
        """Take a job in: it is placed at once, or waits.

        :param work: the job.
        :param now: the monotonic time in seconds.
        :param excluded: ids of targets that were tried already.
        :raises NoTargetError: if no usable target is known.
        :raises OverloadedError: if the queue is full, or if the deadline
            would pass in it.
        :raises TeamLimitError: if the team is at its limit.
        """
        self.target_registry.refresh(now)
        if not excluded:
            self.retry_budget(request.service).deposit()
        if not self.target_registry.serves(request.service, excluded):
            raise errors.NoTargetError(f'no target serves {request.service!r}')
        wait = self.token_rates.wait_seconds(request.team, now)
        if wait and not excluded:
            raise errors.TeamLimitError(
                f'team {request.team!r} is over its tokens a second', wait
            )
        if not self.limits.acquire(request.team, now):
            raise errors.TeamLimitError(
                f'team {request.team!r} is at its limit'
            )
        patience = self.context.tuning.max_wait_fraction * (
            request.deadline - now
        )
        queue_deadline = now + min(patience, MAX_WAIT_SECONDS)
        item = placement.Placement(
            request,
            excluded=excluded,
            submitted_at=now,
            queue_deadline=queue_deadline,
        )
        queue = self.queues_by_service.get(request.service)
        if not queue and self._try(item, now):
            return item
        self._queue(item, now)
        return item

    def observe_report(self, target_id: str, load: target.LoadReport) -> bool:
        """Take in a load report; return whether it was used.

        :param target_id: the target's id.
        :param load: the report.
        """
        if not self.target_registry.observe_report(target_id, load):
            return False
        if load.total_blocks:
            service = self.target_registry.targets_by_id[target_id].service
            self.context.reporting_services.add(service)
        return True

    def retry_budget(self, service: str) -> retry.RetryBudget:
        """Return the retry budget of a service.

        :param service: the service's name.
        """
        return self._budgets_by_service.setdefault(
            service, retry.RetryBudget(self.overload_limits.retry_fraction)
        )

    def dispatch_queued(self, now: float) -> list[placement.Placement]:
        """Return the waiting jobs that are decided by now.

        :param now: the monotonic time in seconds.
        """
        self.target_registry.refresh(now)
        decided = []
        for service, queue in self.queues_by_service.items():
            for item in queue.expired(now):
                self._refuse(item, now, 'waited too long')
                decided.append(item)
            decided.extend(self._drain(service, queue, now))
        return decided

    def cancel(self, item: placement.Placement) -> None:
        """Take out a job whose caller has left before it was placed."""
        queue = self.queues_by_service.get(item.request.service)
        if queue is not None and queue.remove(item):
            self.limits.release(item.request.team)

    def release(self, item: placement.Placement, now: float) -> None:
        """Take in the end of a placed job.

        :param item: the placement, with its outcome and tokens.
        :param now: the monotonic time in seconds.
        """
        chosen, request = item.target, item.request
        chosen.outstanding -= 1
        chosen.ledger.add(ledger.LoadChange(now, -1, -item.expected_blocks, 0))
        self.limits.release(request.team)
        if item.outcome is outcomes.Outcome.DONE:
            self._failing_by_team.pop(request.team, None)
            self.target_registry.record(chosen, True, now)
            if item.tokens:
                self.context.lengths.record(
                    request.service,
                    request.team,
                    request.max_tokens,
                    item.tokens,
                )
        elif item.outcome is not None and self._blames_target(item):
            self.target_registry.record(chosen, False, now)

    def _blames_target(self, item: placement.Placement) -> bool:
        """Return whether a failure speaks against the target.

        Where a team's requests are refused by one target after another, and
        none succeeds between, the requests are at fault.
        """
        if item.outcome is not outcomes.Outcome.FAILED:
            return True
        failing = self._failing_by_team.setdefault(item.request.team, set())
        if len(failing) < 2:
            failing.add(item.target.id)
        return failing == {item.target.id}

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

    def _drain(
        self, service: str, queue: fair_queue.FairQueue, now: float
    ) -> list[placement.Placement]:
        placed = []
        while queue:
            for item in queue.heads(HEADS_TRIED):
                if self._try(item, now):
                    weight = self.limits.weight(item.request.team)
                    queue.pop(item, item.cost_tokens, weight)
                    placed.append(item)
                    break
            else:
                break
        return placed

    def _try(self, item: placement.Placement, now: float) -> bool:
        request = item.request
        usable = self.target_registry.pool(request.service)
        if usable is None or not len(usable):
            return False
        chosen = self._policy.choose(request, usable, now, item.excluded)
        if chosen is None:
            return False
        self._place(item, chosen, now)
        return True

    def _place(
        self, item: placement.Placement, chosen: target.Target, now: float
    ) -> None:
        request = item.request
        expected = self.context.lengths.expected_remaining(
            request.service, request.team, request.max_tokens
        )
        item.expected_blocks = (
            request.prompt_tokens + expected / 2
        ) / chosen.block_tokens
        item.cost_tokens = request.prompt_tokens + expected
        item.target = chosen
        item.placed_at = now
        chosen.outstanding += 1
        chosen.ledger.add(
            ledger.LoadChange(
                now, 1, item.expected_blocks, request.prompt_tokens
            )
        )
        self.target_registry.start(chosen, now)
        sends = self.context.block_rates_by_service
        sends.setdefault(request.service, rate.DecayingRate()).add(
            item.expected_blocks, now
        )
        self._placed_by_service.setdefault(
            request.service, rate.DecayingRate()
        ).add(1, now)
        if request.prefix:
            self.context.prefixes.add(chosen.id, request.prefix, now)
        self.counts['placed'] += 1

    def _queue(self, item: placement.Placement, now: float) -> None:
        request = item.request
        queue = self.queues_by_service.setdefault(
            request.service,
            fair_queue.FairQueue(self.overload_limits.queue_limit),
        )
        latest = min(request.deadline, now + MAX_WAIT_SECONDS)
        if now + self._wait_seconds(queue, request, now) > latest:
            self._refuse(item, now, 'deadline would pass')
            raise item.error
        dropped = queue.push(item)
        if dropped is not None:
            self._refuse(dropped, now, 'queue is full')
            if dropped is item:
                raise item.error

    def _wait_seconds(
        self,
        queue: fair_queue.FairQueue,
        request: routing_request.RoutingRequest,
        now: float,
    ) -> float:
        """Return the expected wait of a new job of a team."""
        placed = self._placed_by_service.get(request.service)
        if placed is None or not queue:
            return 0.0
        queued = queue.queued_by_team()
        own = queue.ahead(request) + 1
        weight = self.limits.weight(request.team)
        ahead = sum(
            min(count, own * self.limits.weight(name) / weight)
            for name, count in queued.items()
            if name != request.team
        )
        return (own + ahead) / max(placed.per_second(now), 0.1)

    def _refuse(
        self, item: placement.Placement, now: float, reason: str
    ) -> None:
        request = item.request
        self.limits.release(request.team)
        queue = self.queues_by_service[request.service]
        wait = self._wait_seconds(queue, request, now)
        item.error = errors.OverloadedError(
            f'{request.service!r} is overloaded: {reason}',
            min(max(wait, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS),
        )
        self.counts['refused'] += 1
