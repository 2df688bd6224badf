"""Routing errors; each is raised before anything is sent to a target."""

from kingcupfront_core import errors


class RoutingError(errors.KingcupfrontError):
    """Raised when a request cannot be placed on a target now.

    :param message: what went wrong.
    :param retry_after: seconds after which a retry may succeed.
    """

    code = 'overloaded'

    def __init__(self, message: str, retry_after: float = 1.0) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class NoTargetError(RoutingError):
    """Raised when a service has no target left to try."""

    code = 'no_target'


class OverloadedError(RoutingError):
    """Raised when the queue is full or the wait in it is too long."""


class TeamLimitError(RoutingError):
    """Raised when the team is at its concurrency or token rate limit."""

    code = 'team_limit'
