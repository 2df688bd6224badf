"""The placement of a request on a target."""

from collections.abc import Callable
import dataclasses

from kingcupfront_core import outcomes
from kingcupfront_route import errors
from kingcupfront_route import routing_request
from kingcupfront_route import target as targets


@dataclasses.dataclass(eq=False)
class Placement:
    """A request that waits for a target, runs on one or was refused.

    :param request: the request.
    :param target: the chosen target, or None while the request waits.
    :param outcome: how the attempt on the target ended; set by the caller.
    :param tokens: output tokens received so far.
    :param error: why the request was refused, if it was.
    :param excluded: ids of targets that were tried already.
    :param submitted_at: the monotonic second at which it was submitted.
    :param placed_at: the monotonic second at which a target was chosen.
    :param queue_deadline: the monotonic second until which it may wait.
    :param expected_blocks: expected mean of the blocks of KV cache in use.
    :param cost_tokens: prompt tokens plus expected output tokens.
    :param on_tokens: called with the number of output tokens that arrive.
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
        """Whether a target was chosen or the request was refused."""
        return self.target is not None or self.error is not None

    def add_tokens(self, count: int) -> None:
        """Count output tokens as they arrive."""
        self.tokens += count
        if self.on_tokens is not None:
            self.on_tokens(count)
