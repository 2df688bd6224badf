"""The router of one entry: a dispatcher shared by concurrent tasks."""

from collections.abc import Iterator
import contextlib
import random
import typing

from gevent import event

from kingcupfront_core import clock
from kingcupfront_route import dispatcher
from kingcupfront_route import headroom_policy
from kingcupfront_route import limits
from kingcupfront_route import overload_limits
from kingcupfront_route import placement as placements
from kingcupfront_route import prefix_index
from kingcupfront_route import retry
from kingcupfront_route import routing_request
from kingcupfront_route import target
from kingcupfront_route import team
from kingcupfront_route import tuning

POLL_INTERVAL_SECONDS = 0.05


class Router:
    """Places requests on targets; a task whose request is queued waits.

    >>> router = Router()
    >>> router.targets_by_id
    {}

    :param policy_name: a name in :data:`policy.policies`.
    :param time: the clock.
    :param rng: the source of random numbers.
    """

    def __init__(
        self,
        policy_name: str = headroom_policy.LATEST,
        *,
        time: clock.Clock = clock.SYSTEM,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = time
        self._rng = rng or random.Random()
        self._dispatcher = dispatcher.Dispatcher(policy_name, rng=self._rng)
        self._next_poll = 0.0
        self._events_by_placement: dict[placements.Placement, event.Event] = {}

    @property
    def targets_by_id(self) -> dict[str, target.Target]:
        """The known targets."""
        return self._dispatcher.target_registry.targets_by_id

    def set_targets(self, targets: list[target.Target]) -> None:
        """Replace the known targets, keeping the state of those that stay."""
        removed_ids = self._dispatcher.target_registry.set_targets(targets)
        for target_id in removed_ids:
            self._dispatcher.context.prefixes.remove_target(target_id)
        self._dispatch_queued()

    def set_policy(
        self, name: str, new_tuning: tuning.Tuning = tuning.FEWER_STALLS
    ) -> None:
        """Change the policy and its tuning.

        :param name: a name in :data:`policy.policies`.
        :param new_tuning: the weights that the policy uses.
        :raises UnknownNameError: if there is no such policy.
        """
        self._dispatcher.context.tuning = new_tuning
        self._dispatcher.set_policy(name)
        self._dispatch_queued()

    def set_overload_limits(
        self, new_limits: overload_limits.OverloadLimits
    ) -> None:
        """Change the limits of queues and retries.

        :param new_limits: the limits.
        """
        self._dispatcher.set_overload_limits(new_limits)

    def set_teams(self, teams: list[team.Team]) -> None:
        """Replace the teams, their weights and their limits."""
        self._dispatcher.limits.set_teams(teams)
        self._dispatcher.token_rates.set_teams(teams)
        self._dispatch_queued()

    def set_entries(self, count: int) -> None:
        """Set the number of entries, this one included."""
        self._dispatcher.context.entries = max(1, count)
        self._dispatcher.limits.set_entries(count)
        self._dispatcher.token_rates.set_entries(count)

    def observe_report(
        self, target_id: str, report: target.LoadReport
    ) -> None:
        """Apply a target's load report, unless it is outdated."""
        if self._dispatcher.observe_report(target_id, report):
            self._dispatch_queued()

    def observe_cache_event(
        self, target_id: str, cache_event: prefix_index.CacheEvent
    ) -> None:
        """Apply a change of a target's prefix cache."""
        if target_id in self.targets_by_id:
            now = self._clock.monotonic()
            self._dispatcher.context.prefixes.apply_event(
                target_id, cache_event, now
            )

    def acquire_retry(self, service: str, attempt: int) -> float | None:
        """Take a retry from a service's retry budget.

        :param service: the service's name.
        :param attempt: 0 for the first retry.
        :returns: the back-off in seconds, or None if the budget is used up.
        """
        if not self._dispatcher.retry_budget(service).try_withdraw():
            return None
        return retry.backoff_seconds(attempt, self._rng)

    def usage(self) -> limits.Usage:
        """Return the usage message for the peers."""
        return self._dispatcher.limits.usage()

    def observe_usage(self, peer_id: str, usage: limits.Usage) -> None:
        """Apply a peer's usage message.

        :param peer_id: the id of the peer's process, new with each start.
        :param usage: the message.
        """
        now = self._clock.monotonic()
        self._dispatcher.limits.observe(peer_id, usage, now)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the state for a dump."""
        return self._dispatcher.as_dict(self._clock.monotonic())

    @contextlib.contextmanager
    def place(
        self,
        request: routing_request.RoutingRequest,
        excluded: frozenset[str] = frozenset(),
    ) -> Iterator[placements.Placement]:
        """Place a request on a target and release it when the block ends.

        If the request is queued, the calling task waits until it is placed
        or refused, at most :data:`dispatcher.MAX_WAIT_SECONDS`. Other tasks
        run in the meantime.

        :param request: the request.
        :param excluded: ids of targets that were tried already.
        :raises NoTargetError: if the service has no target left to try.
        :raises OverloadedError: if the request can't be queued, or waited
            too long.
        :raises TeamLimitError: if the team is at its concurrency or token
            rate limit.
        """
        now = self._clock.monotonic()
        placement = self._dispatcher.submit(request, now, excluded)
        if not placement.is_decided:
            self._wait(placement)
        if placement.error is not None:
            raise placement.error
        placement.on_tokens = lambda count: (
            self._dispatcher.token_rates.consume(
                request.team, count, self._clock.monotonic()
            )
        )
        try:
            yield placement
        finally:
            self._dispatcher.release(placement, self._clock.monotonic())
            self._dispatch_queued()

    def _wait(self, placement: placements.Placement) -> None:
        decided = event.Event()
        self._events_by_placement[placement] = decided
        try:
            while not placement.is_decided:
                self._poll()
                decided.wait(POLL_INTERVAL_SECONDS)
        finally:
            del self._events_by_placement[placement]
            if not placement.is_decided:
                self._dispatcher.cancel(placement)

    def _poll(self) -> None:
        """Dispatch the queues, once per interval for all waiting tasks."""
        now = self._clock.monotonic()
        if now >= self._next_poll:
            self._next_poll = now + POLL_INTERVAL_SECONDS
            self._dispatch_queued()

    def _dispatch_queued(self) -> None:
        """Dispatch the queues and wake the tasks of decided requests."""
        for placement in self._dispatcher.dispatch_queued(
            self._clock.monotonic()
        ):
            decided = self._events_by_placement.get(placement)
            if decided is not None:
                decided.set()
