"""A call to a plain service and its result."""

import dataclasses

from kingcupfront_core import outcomes


@dataclasses.dataclass(frozen=True)
class Call:
    """A call that a caller wants to run.

    :param service: the name of the service.
    :param team: the name of the team that asks.
    :param method: the HTTP method.
    :param path: path and query.
    :param headers: headers to pass on.
    :param body: the body.
    :param repeatable: whether running it twice does no harm.
    :param timeout_seconds: bound on the call, in seconds.
    """

    service: str
    team: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    repeatable: bool = False
    timeout_seconds: float = 30.0


@dataclasses.dataclass(frozen=True)
class Result:
    """How a call ended.

    :param outcome: the outcome.
    :param status: the target's HTTP status, 0 if it gave no answer.
    :param headers: the target's headers to pass on.
    :param body: the target's body.
    :param reason: why it did not end well, empty if it did.
    """

    outcome: outcomes.Outcome
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    reason: str = ''
