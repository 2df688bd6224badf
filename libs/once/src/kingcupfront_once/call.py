"""A call to a plain service and its result."""

import dataclasses
import hashlib

from kingcupfront_core import outcomes

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's call to a plain service.

    >>> order = Call('desk', 'north', 'POST', '/orders', body=b'{}')
    >>> order.fingerprint == dataclasses.replace(order, body=b'').fingerprint
    False

    :param service: the name of the service.
    :param team: the name of the team that makes the call.
    :param method: the HTTP method.
    :param path: the path and the query string.
    :param headers: the request headers to forward.
    :param body: the request body.
    :param repeatable: whether the call is idempotent, so that it may be
        retried without a key even if it may have run.
    :param timeout_seconds: the time-out of the whole call, in seconds.
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
        """The digest of the fields that a retry with the same key must repeat.

        Headers are not part of it.
        """
        digest = hashlib.sha256()
        for part in (self.team, self.service, self.method, self.path):
            digest.update(part.encode() + b'\0')
        digest.update(self.body)
        return digest.digest()


@dataclasses.dataclass(frozen=True)
class Result:
    """The result of a call.

    :param outcome: the outcome.
    :param status: the HTTP status of the target's response, 0 if no complete
        response was received.
    :param headers: the response headers to forward.
    :param body: the response body.
    :param code: the code of the failure, empty if the target responded.
    :param reason: the message of the failure, empty if the target responded.
    :param replayed: whether it is the stored result of an earlier call with
        the same key.
    :param body_dropped: whether the body was not stored or was evicted,
        because of the limits on stored bodies.
    """

    outcome: outcomes.Outcome
    status: int = 0
    headers: Headers = ()
    body: bytes = b''
    code: str = ''
    reason: str = ''
    replayed: bool = False
    body_dropped: bool = False
