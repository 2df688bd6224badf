"""Failures of token streams."""

from kingcupfront_core import errors


class EngineError(errors.KingcupfrontError):
    """An engine that cannot be reached or broke its protocol.

    :param message: what went wrong.
    :param sent: whether a byte of the request may have left.
    """

    code = 'engine_unavailable'

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class UnreachableError(EngineError):
    """An engine to which no connection could be made.

    :param message: what went wrong.
    :param closed: whether its host said that nothing listens there.
    """

    def __init__(self, message: str, *, closed: bool) -> None:
        super().__init__(message, sent=False)
        self.closed = closed


class SilentError(EngineError):
    """A connection on which nothing arrived within its bound.

    :param message: what went wrong.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)


class BrokenError(EngineError):
    """A connection whose events are not the ones that were asked for.

    :param message: what went wrong.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)


class RefusedError(EngineError):
    """An engine that refused a request before running it.

    :param message: what the engine said.
    :param status: the HTTP status.
    :param body: the body of its answer.
    :param retry_after: seconds after which a retry may succeed.
    """

    code = 'refused'

    def __init__(
        self,
        message: str,
        status: int,
        body: bytes,
        retry_after: float = 1.0,
    ) -> None:
        super().__init__(message, sent=True)
        self.status = status
        self.body = body
        self.retry_after = retry_after

    @property
    def busy(self) -> bool:
        """Whether another engine, or this one later, may accept it."""
        return self.status == 429 or self.status >= 500


class LostError(errors.KingcupfrontError):
    """A generation that cannot be continued.

    :param delivered: how many tokens the caller has.
    :param reason: why, in a few words.
    """

    code = 'lost'

    def __init__(self, delivered: int, reason: str = '') -> None:
        super().__init__(f'lost after {delivered} tokens: {reason}')
        self.delivered = delivered
        self.reason = reason
