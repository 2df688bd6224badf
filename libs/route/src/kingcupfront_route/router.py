"""The router of one entry: targets, policy and requests in progress."""

from collections.abc import Iterator
import contextlib
import dataclasses
import random

from kingcupfront_core import clock
from kingcupfront_core import outcomes
from kingcupfront_route import errors
from kingcupfront_route import job
from kingcupfront_route import policy
from kingcupfront_route import target


@dataclasses.dataclass
class Placement:
    """A job on its target.

    :param job: the job.
    :param target: the target that was chosen.
    :param outcome: how it ended; set by the caller.
    :param tokens: output tokens seen so far.
    """

    job: job.Job
    target: target.Target
    outcome: outcomes.Outcome | None = None
    tokens: int = 0

    def add_tokens(self, count: int) -> None:
        """Count output tokens as they arrive."""
        self.tokens += count


class Router:
    """Places jobs on targets.

    :param policy_name: a name in :data:`policy.policies`.
    :param time: the clock.
    :param rng: the source of random numbers.
    """

    def __init__(
        self,
        policy_name: str = 'least_outstanding',
        *,
        time: clock.Clock = clock.SYSTEM,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = time
        self._policy = policy.policies.get(policy_name)(rng or random.Random())
        self.targets_by_id: dict[str, target.Target] = {}

    def set_targets(self, targets: list[target.Target]) -> None:
        """Replace the known targets, keeping counts of those that stay."""
        fresh = {}
        for item in targets:
            known = self.targets_by_id.get(item.id)
            if known is not None and known.address == item.address:
                known.leaving = item.leaving
                item = known
            fresh[item.id] = item
        self.targets_by_id = fresh

    def report(self, target_id: str, load: target.LoadReport) -> None:
        """Take in a load report; an older one than the last is ignored."""
        item = self.targets_by_id.get(target_id)
        if item is None:
            return
        if item.report is None or load.number > item.report.number:
            item.report = load

    @contextlib.contextmanager
    def place(
        self, work: job.Job, excluded: frozenset[str] = frozenset()
    ) -> Iterator[Placement]:
        """Hold a place on a target while the block runs; may wait for it.

        :param work: the job.
        :param excluded: ids of targets that were tried already.
        :raises NoTargetError: if no usable target is known.
        :raises OverloadedError: if the job must not wait longer.
        """
        candidates = [
            t
            for t in self.targets_by_id.values()
            if t.service == work.service
            and t.id not in excluded
            and not t.leaving
            and not (t.report and t.report.leaving)
        ]
        if not candidates:
            raise errors.NoTargetError(f'no target serves {work.service!r}')
        chosen = self._policy.choose(work, candidates, self._clock.monotonic())
        if chosen is None:
            raise errors.OverloadedError(f'{work.service!r} is overloaded')
        placement = Placement(work, chosen)
        chosen.outstanding += 1
        try:
            yield placement
        finally:
            chosen.outstanding -= 1
