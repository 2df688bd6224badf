"""A job on its way to a target."""

from collections.abc import Callable
import dataclasses

from kingcupfront_core import outcomes
from kingcupfront_route import errors
from kingcupfront_route import routing_request
from kingcupfront_route import target as targets


@dataclasses.dataclass(eq=False)
class Placement:
    """A job that waits for a target or runs on one.

    :param job: the job.
    :param target: the target that was chosen, or None while it waits.
    :param outcome: how it ended; set by the caller.
    :param tokens: output tokens seen so far.
    :param error: why it will not be placed, if so.
    :param excluded: ids of targets that were tried already.
    :param offered_at: the monotonic second at which it was offered.
    :param placed_at: the monotonic second at which it was placed.
    :param give_up_at: the monotonic second until which it may wait.
    :param blocks: blocks of memory that it is expected to take.
    :param cost_tokens: the expected work, prompt included.
    :param spend: told of output tokens as they arrive.
    """

    request: routing_request.RoutingRequest
    target: targets.Target | None = None
    outcome: outcomes.Outcome | None = None
    tokens: int = 0
    error: errors.RoutingError | None = None
    excluded: frozenset[str] = frozenset()
    submitted_at: float = 0.0
    placed_at: float = 0.0
    queue_deadline: float = 0.0
    expected_blocks: float = 0.0
    cost_tokens: float = 1.0
    on_tokens: Callable[[int], None] | None = None

    @property
    def is_decided(self) -> bool:
        """Whether it has a target or an error."""
        return self.target is not None or self.error is not None

    def add_tokens(self, count: int) -> None:
        """Count output tokens as they arrive."""
        self.tokens += count
        if self.on_tokens is not None:
            self.on_tokens(count)
