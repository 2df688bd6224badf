"""Failures of routing; each is raised before anything is sent."""

from kingcupfront_core import errors


class RoutingError(errors.KingcupfrontError):
    """A request that no target can take now.

    :param message: what went wrong.
    :param retry_after: seconds after which a retry may succeed.
    """

    code = 'overloaded'

    def __init__(self, message: str, retry_after: float = 1.0) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class NoTargetError(RoutingError):
    """No target of the service is known and usable."""

    code = 'no_target'


class OverloadedError(RoutingError):
    """The deadline cannot be met, or the queue is full."""


class TeamLimitError(RoutingError):
    """The team is over its limit."""

    code = 'team_limit'
