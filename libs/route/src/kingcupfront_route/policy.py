"""Routing policies and their registry."""

from collections.abc import Sequence
import random
import typing

from kingcupfront_core import registry
from kingcupfront_route import job
from kingcupfront_route import target


class Policy(typing.Protocol):
    """Anything that chooses a target for a job."""

    def choose(
        self, work: job.Job, candidates: Sequence[target.Target], now: float
    ) -> target.Target | None:
        """Return a target, or None if the job should wait.

        :param work: the job.
        :param candidates: usable targets of the job's service; not empty.
        :param now: the monotonic time in seconds.
        """


policies: registry.Registry[typing.Callable[[random.Random], Policy]] = (
    registry.Registry('routing policy')
)


@policies.register('random')
class RandomPolicy:
    """Chooses any target with equal chance.

    :param rng: the source of random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, work: job.Job, candidates: Sequence[target.Target], now: float
    ) -> target.Target | None:
        """Return a random target."""
        return self._rng.choice(candidates)


@policies.register('round_robin')
class RoundRobinPolicy:
    """Chooses the targets in turn, from a random start.

    :param rng: the source of random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._next = rng.randrange(1 << 16)

    def choose(
        self, work: job.Job, candidates: Sequence[target.Target], now: float
    ) -> target.Target | None:
        """Return the next target in turn."""
        self._next += 1
        return candidates[self._next % len(candidates)]


@policies.register('least_outstanding')
class LeastOutstandingPolicy:
    """Chooses the target with the fewest own requests in progress.

    :param rng: the source of random numbers, which breaks ties.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, work: job.Job, candidates: Sequence[target.Target], now: float
    ) -> target.Target | None:
        """Return the least loaded target."""
        return min(
            candidates, key=lambda t: (t.outstanding, self._rng.random())
        )
