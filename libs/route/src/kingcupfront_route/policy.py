"""Routing policies and their registry."""

from collections.abc import Collection
import typing

from kingcupfront_core import registry
from kingcupfront_route import policy_context
from kingcupfront_route import pool
from kingcupfront_route import routing_request
from kingcupfront_route import target

MAX_COMPARED = 64


class Policy(typing.Protocol):
    """Anything that chooses a target for a job."""

    def choose(
        self,
        request: routing_request.RoutingRequest,
        usable: pool.Pool,
        now: float,
        excluded: Collection[str] = (),
    ) -> target.Target | None:
        """Return a target, or None if the job should wait.

        :param work: the job.
        :param usable: usable targets of the job's service.
        :param now: the monotonic time in seconds.
        :param excluded: ids of targets to leave out.
        """


policies: registry.Registry[
    typing.Callable[[policy_context.PolicyContext], Policy]
] = registry.Registry('routing policy')


@policies.register('random')
class RandomPolicy:
    """Chooses any target with equal chance.

    :param known: the entry's context.
    """

    def __init__(self, context: policy_context.PolicyContext) -> None:
        self._rng = context.rng

    def choose(
        self,
        request: routing_request.RoutingRequest,
        usable: pool.Pool,
        now: float,
        excluded: Collection[str] = (),
    ) -> target.Target | None:
        """Return a random target."""
        found = usable.sample(self._rng, 1, excluded)
        return found[0] if found else None


@policies.register('round_robin')
class RoundRobinPolicy:
    """Chooses the targets in turn, from a random start.

    :param known: the entry's context.
    """

    def __init__(self, context: policy_context.PolicyContext) -> None:
        self._next = context.rng.randrange(1 << 16)

    def choose(
        self,
        request: routing_request.RoutingRequest,
        usable: pool.Pool,
        now: float,
        excluded: Collection[str] = (),
    ) -> target.Target | None:
        """Return the next target in turn."""
        items = usable.items()
        for _ in range(min(len(items), len(excluded) + 1)):
            self._next += 1
            item = items[self._next % len(items)]
            if item.id not in excluded:
                return item
        return None


@policies.register('least_outstanding')
class LeastOutstandingPolicy:
    """Chooses the target with the fewest own requests in progress.

    :param known: the entry's context; its random numbers break ties.
    """

    def __init__(self, context: policy_context.PolicyContext) -> None:
        self._rng = context.rng

    def choose(
        self,
        request: routing_request.RoutingRequest,
        usable: pool.Pool,
        now: float,
        excluded: Collection[str] = (),
    ) -> target.Target | None:
        """Return the least loaded target."""
        found = usable.sample(self._rng, MAX_COMPARED, excluded)
        return min(found, key=lambda t: t.outstanding, default=None)
