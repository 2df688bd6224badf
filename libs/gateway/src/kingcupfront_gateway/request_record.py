"""Times and counts of one request."""

import dataclasses

from kingcupfront_gateway import errors
from kingcupfront_gateway import objects
from kingcupfront_gateway import targets


@dataclasses.dataclass
class RequestRecord:
    """What is kept of a request while it is served.

    :param arrived_at: the second at which it was read.
    :param deadline: the second at which the caller gets a final answer.
    :param sends: sends to targets.
    :param runs: sends that may have run.
    """

    arrived_at: float
    deadline: float = float('inf')
    route: str = ''
    team: str = ''
    version: int = 0
    attempts: int = 0
    possible_executions: int = 0
    status: int = 0
    first_event_at: float | None = None
    events: int = 0
    resumptions: int = 0
    target_ids: list[str] = dataclasses.field(default_factory=list)

    def seconds_left(self, now: float) -> float:
        """Return the seconds left, at least one millisecond."""
        return max(self.deadline - now, 0.001)

    def start_attempt(self, target: objects.Target) -> None:
        """Count a send; from here on the request may have run."""
        self.attempts += 1
        self.possible_executions += 1
        self.target_ids.append(target.id)

    def record_failure(
        self, state: targets.TargetState, failure: errors.TargetError
    ) -> None:
        """Take in that a send failed; take it back if nothing ran.

        :param state: the target that it was sent to.
        """
        if not failure.may_have_run:
            self.possible_executions -= 1
        if failure.misdirected:
            state.reported_leaving = True
