"""Errors of token streams."""

from kingcupfront_core import errors


class EngineError(errors.KingcupfrontError):
    """Raised if an engine cannot be reached or violates its protocol.

    :param message: what went wrong.
    :param sent: whether any byte of the request may have been sent.
    """

    code = 'engine_unavailable'

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class UnreachableError(EngineError):
    """Raised if no connection to an engine could be made.

    :param message: what went wrong.
    :param closed: whether the host refused the connection, so that no
        process listens on the port.
    """

    def __init__(self, message: str, *, closed: bool) -> None:
        super().__init__(message, sent=False)
        self.closed = closed


class SilentError(EngineError):
    """Raised if nothing arrived on a connection within its read timeout.

    :param message: what went wrong.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)


class BrokenError(EngineError):
    """Raised if a connection carries other events than the requested ones.

    :param message: what went wrong.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)


class RefusedError(EngineError):
    """Raised if an engine rejected a request without running it.

    :param message: what went wrong.
    :param status: the HTTP status.
    :param body: the body of the response.
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
        """Whether a retry, here or on another engine, may be accepted."""
        return self.status == 429 or self.status >= 500


class LostError(errors.KingcupfrontError):
    """Raised if a generation cannot be continued.

    :param delivered: the number of tokens delivered to the caller.
    :param reason: why it cannot be continued.
    """

    code = 'lost'

    def __init__(self, delivered: int, reason: str = '') -> None:
        super().__init__(f'generation lost after {delivered} tokens: {reason}')
        self.delivered = delivered
        self.reason = reason
