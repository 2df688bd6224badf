"""Records the times and counts of one request."""

import dataclasses

from kingcupfront_gateway import errors
from kingcupfront_gateway import objects
from kingcupfront_gateway import targets
from kingcupfront_gateway import upstream

# How much longer than the deadline a target is waited for, so that the
# request's own time limit strikes first and its caller gets 504.
DEADLINE_SLACK_SECONDS = 0.25


@dataclasses.dataclass
class RequestRecord:
    """The state of a request while it is served; times are monotonic.

    :param arrived_at: the time at which it was read.
    :param request_id: its id, or '' until its headers are read.
    :param deadline: the time by which the caller gets a final response.
    :param rank: the priorities of its team and route; '' if not admitted.
    :param version: the version of the configuration that admitted it.
    :param regions: the regions that it permitted; '' for all.
    :param attempts: the attempts that were started.
    :param possible_executions: the attempts that may have been executed.
    :param status: the HTTP status of the response.
    :param first_event_at: the time of the first forwarded event, or None.
    :param events: the forwarded events.
    :param resumptions: the attempts that failed after the response had
        started.
    :param target_ids: the targets of the attempts.
    :param connections: the connections that carried the attempts.
    """

    arrived_at: float
    request_id: str = ''
    deadline: float = float('inf')
    route: str = ''
    team: str = ''
    rank: str = ''
    version: int = 0
    regions: str = ''
    attempts: int = 0
    possible_executions: int = 0
    status: int = 0
    first_event_at: float | None = None
    events: int = 0
    resumptions: int = 0
    target_ids: list[str] = dataclasses.field(default_factory=list)
    connections: list[upstream.UpstreamConnection] = dataclasses.field(
        default_factory=list
    )

    def seconds_left(self, now: float) -> float:
        """Return the seconds until the deadline, at least 1 ms."""
        return max(self.deadline - now, 0.001)

    def start_attempt(self, target: objects.Target) -> None:
        """Count an attempt, as a possible execution until it is disproved."""
        self.attempts += 1
        self.possible_executions += 1
        self.target_ids.append(target.id)

    def record_failure(
        self, state: targets.TargetState, failure: errors.TargetError
    ) -> None:
        """Record that an attempt failed.

        :param state: the target of the attempt.
        :param failure: the failure; it tells whether the target may have
            executed the request.
        """
        if not failure.may_have_run:
            self.possible_executions -= 1
        if failure.misdirected:
            state.reported_leaving = True
