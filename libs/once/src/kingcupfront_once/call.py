"""A call to a plain service and its result."""

import dataclasses
import hashlib

from kingcupfront_core import outcomes

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class Call:
    """A call that a caller wants to run.

    >>> order = Call('desk', 'north', 'POST', '/orders', body=b'{}')
    >>> order.fingerprint == dataclasses.replace(order, body=b'').fingerprint
    False

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
    headers: Headers = ()
    body: bytes = b''
    repeatable: bool = False
    timeout_seconds: float = 30.0

    @property
    def fingerprint(self) -> bytes:
        """A digest of all that must be the same under one key."""
        digest = hashlib.sha256()
        for part in (self.team, self.service, self.method, self.path):
            digest.update(part.encode() + b'\0')
        digest.update(self.body)
        return digest.digest()


@dataclasses.dataclass(frozen=True)
class Result:
    """How a call ended.

    :param outcome: the outcome.
    :param status: the target's HTTP status, 0 if it gave no whole answer.
    :param headers: the target's headers to pass on.
    :param body: the target's body.
    :param code: the code of the failure, empty if the target answered.
    :param reason: why it did not end well, empty if it did.
    :param replayed: whether it is the remembered result of an earlier call.
    :param body_dropped: whether the body was too large to remember.
    """

    outcome: outcomes.Outcome
    status: int = 0
    headers: Headers = ()
    body: bytes = b''
    code: str = ''
    reason: str = ''
    replayed: bool = False
    body_dropped: bool = False
