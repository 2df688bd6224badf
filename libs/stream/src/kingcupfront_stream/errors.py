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


class RefusedError(EngineError):
    """An engine that refused a request before running it.

    :param message: what the engine said.
    :param status: the HTTP status.
    :param body: the body of its answer.
    """

    code = 'refused'

    def __init__(self, message: str, status: int, body: bytes) -> None:
        super().__init__(message, sent=True)
        self.status = status
        self.body = body


class LostError(errors.KingcupfrontError):
    """A generation that cannot be continued.

    :param delivered: how many tokens the caller has.
    """

    code = 'lost'

    def __init__(self, delivered: int) -> None:
        super().__init__(f'lost after {delivered} tokens')
        self.delivered = delivered
