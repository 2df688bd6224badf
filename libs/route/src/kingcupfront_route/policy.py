"""Routing policies and their registry."""

from collections.abc import Collection
import typing

from kingcupfront_core import registry
from kingcupfront_route import policy_context
from kingcupfront_route import pool
from kingcupfront_route import routing_request
from kingcupfront_route import target as targets

MAX_TARGETS_COMPARED = 64


class Policy(typing.Protocol):
    """The interface of a routing policy."""

    def choose(
        self,
        request: routing_request.RoutingRequest,
        usable: pool.Pool,
        now: float,
        excluded: Collection[str] = (),
    ) -> targets.Target | None:
        """Return a target, or None if the request should wait.

        :param request: the request.
        :param usable: the usable targets of the request's service.
        :param now: the monotonic time in seconds.
        :param excluded: ids of targets to leave out.
        """


policies: registry.Registry[
    typing.Callable[[policy_context.PolicyContext], Policy]
] = registry.Registry('routing policy')


@policies.register('random')
class RandomPolicy:
    """Chooses a target at random, each with equal probability.

    :param context: the entry's context.
    """

    def __init__(self, context: policy_context.PolicyContext) -> None:
        self._rng = context.rng

    def choose(
        self,
        request: routing_request.RoutingRequest,
        usable: pool.Pool,
        now: float,
        excluded: Collection[str] = (),
    ) -> targets.Target | None:
        """Return a random target."""
        found = usable.sample(self._rng, 1, excluded)
        return found[0] if found else None


@policies.register('round_robin')
class RoundRobinPolicy:
    """Chooses the targets in turn, starting at a random one.

    :param context: the entry's context.
    """

    def __init__(self, context: policy_context.PolicyContext) -> None:
        self._next = context.rng.randrange(1 << 16)

    def choose(
        self,
        request: routing_request.RoutingRequest,
        usable: pool.Pool,
        now: float,
        excluded: Collection[str] = (),
    ) -> targets.Target | None:
        """Return the next target in turn."""
        usable_targets = usable.items()
        for _ in range(min(len(usable_targets), len(excluded) + 1)):
            self._next += 1
            target = usable_targets[self._next % len(usable_targets)]
            if target.id not in excluded:
                return target
        return None


@policies.register('least_outstanding')
class LeastOutstandingPolicy:
    """Chooses the target with the fewest outstanding requests of this entry.

    :param context: the entry's context; its random numbers break ties.
    """

    def __init__(self, context: policy_context.PolicyContext) -> None:
        self._rng = context.rng

    def choose(
        self,
        request: routing_request.RoutingRequest,
        usable: pool.Pool,
        now: float,
        excluded: Collection[str] = (),
    ) -> targets.Target | None:
        """Return the target with the fewest outstanding requests."""
        found = usable.sample(self._rng, MAX_TARGETS_COMPARED, excluded)
        return min(found, key=lambda t: t.outstanding, default=None)
