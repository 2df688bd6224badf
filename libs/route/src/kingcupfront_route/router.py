"""The router of one entry: a dispatcher that waiting tasks share."""

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
from kingcupfront_route import placement
from kingcupfront_route import prefix_index
from kingcupfront_route import retry
from kingcupfront_route import routing_request
from kingcupfront_route import target
from kingcupfront_route import team
from kingcupfront_route import tuning

POLL_SECONDS = 0.05


class Router:
    """Places jobs on targets.

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
        self._events_by_placement: dict[placement.Placement, event.Event] = {}

    @property
    def targets_by_id(self) -> dict[str, target.Target]:
        """The known targets."""
        return self._dispatcher.target_registry.targets_by_id

    def set_targets(self, targets: list[target.Target]) -> None:
        """Replace the known targets, keeping the state of those that stay."""
        gone = self._dispatcher.target_registry.set_targets(targets)
        for target_id in gone:
            self._dispatcher.context.prefixes.remove_target(target_id)
        self._wake()

    def set_policy(
        self, name: str, chosen: tuning.Tuning = tuning.FEWER_STALLS
    ) -> None:
        """Change the policy and its weights.

        :param name: a name in :data:`policy.policies`.
        :param chosen: the weights.
        :raises UnknownNameError: if there is no such policy.
        """
        self._dispatcher.context.tuning = chosen
        self._dispatcher.set_policy(name)
        self._wake()

    def set_overload_limits(
        self, chosen: overload_limits.OverloadLimits
    ) -> None:
        """Change the bounds of queues and retries.

        :param chosen: the bounds.
        """
        self._dispatcher.set_overload_limits(chosen)

    def set_teams(self, teams: list[team.Team]) -> None:
        """Replace the teams' shares and limits."""
        self._dispatcher.limits.set_teams(teams)
        self._dispatcher.token_rates.set_teams(teams)
        self._wake()

    def set_entries(self, count: int) -> None:
        """Set the number of entries, this one included."""
        self._dispatcher.context.entries = max(1, count)
        self._dispatcher.limits.set_entries(count)
        self._dispatcher.token_rates.set_entries(count)

    def observe_report(self, target_id: str, load: target.LoadReport) -> None:
        """Take in a load report; an older one than the last is ignored."""
        if self._dispatcher.observe_report(target_id, load):
            self._wake()

    def observe_cache_event(
        self, target_id: str, change: prefix_index.CacheEvent
    ) -> None:
        """Take in a change of a target's prefix cache."""
        if target_id in self.targets_by_id:
            now = self._clock.monotonic()
            self._dispatcher.context.prefixes.apply_event(
                target_id, change, now
            )

    def acquire_retry(self, service: str, attempt: int) -> float | None:
        """Take a retry from a service's budget.

        :param service: the service's name.
        :param attempt: 0 for the first retry.
        :returns: seconds to wait before it, or None if no retry is left.
        """
        if not self._dispatcher.retry_budget(service).try_withdraw():
            return None
        return retry.delay(attempt, self._rng)

    def usage(self) -> limits.Usage:
        """Return what this entry holds of the teams' limits, for peers."""
        return self._dispatcher.limits.usage()

    def observe_usage(self, peer_id: str, usage: limits.Usage) -> None:
        """Take in what a peer holds of the teams' limits.

        :param peer_id: the peer's id, new with each process.
        :param usage: its message.
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
    ) -> Iterator[placement.Placement]:
        """Hold a place on a target while the block runs; may wait for it.

        The wait is cooperative and ends at the job's deadline, or after
        :data:`dispatcher.MAX_WAIT_SECONDS` at the latest.

        :param work: the job.
        :param excluded: ids of targets that were tried already.
        :raises NoTargetError: if no usable target is known.
        :raises OverloadedError: if the job must not wait longer.
        :raises TeamLimitError: if the team is at its limit.
        """
        now = self._clock.monotonic()
        item = self._dispatcher.submit(request, now, excluded)
        if not item.is_decided:
            self._wait(item)
        if item.error is not None:
            raise item.error
        item.on_tokens = lambda count: self._dispatcher.token_rates.consume(
            request.team, count, self._clock.monotonic()
        )
        try:
            yield item
        finally:
            self._dispatcher.release(item, self._clock.monotonic())
            self._wake()

    def _wait(self, item: placement.Placement) -> None:
        decided = event.Event()
        self._events_by_placement[item] = decided
        try:
            while not item.is_decided:
                self._poll()
                decided.wait(POLL_SECONDS)
        finally:
            del self._events_by_placement[item]
            if not item.is_decided:
                self._dispatcher.cancel(item)

    def _poll(self) -> None:
        """Look at the queue, once for all tasks that wait."""
        now = self._clock.monotonic()
        if now >= self._next_poll:
            self._next_poll = now + POLL_SECONDS
            self._wake()

    def _wake(self) -> None:
        """Wake the tasks whose jobs are decided."""
        for item in self._dispatcher.dispatch_queued(self._clock.monotonic()):
            waiting = self._events_by_placement.get(item)
            if waiting is not None:
                waiting.set()
