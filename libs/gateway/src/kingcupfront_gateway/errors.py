"""Failures of the gateway, each with a type."""

from kingcupfront_core import errors


class GatewayError(errors.KingcupfrontError):
    """The base of the gateway's failures."""

    code = 'gateway_error'


class MalformedRequestError(GatewayError):
    """A caller's request that is not proper HTTP or lacks a field.

    :param status: the HTTP status that tells the caller why.
    """

    code = 'malformed_request'

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class RefusedError(GatewayError):
    """A request that has not run and will not run.

    :param status: the HTTP status of the answer.
    :param reason: the cause in one word, for logs and counters.
    :param retry_after: seconds after which to come back, or None.
    """

    code = 'refused'

    def __init__(
        self, status: int, reason: str, retry_after: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


class CallerLeftError(GatewayError):
    """The caller closed its connection before it had its answer."""

    code = 'caller_left'


class OutOfTimeError(GatewayError):
    """The request's deadline or its route's timeout was reached."""

    code = 'out_of_time'


class TargetError(GatewayError):
    """The base of failures at a target.

    :param may_have_run: whether the target may have run the request.
    """

    code = 'target_error'
    misdirected = False

    def __init__(self, message: str, *, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


class UnreachableError(TargetError):
    """No connection to a target could be opened."""

    code = 'unreachable'

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=False)


class RejectedError(TargetError):
    """A target stated that it did not run the request.

    :param misdirected: whether another target has its address now.
    """

    code = 'rejected'

    def __init__(self, message: str, *, misdirected: bool = False) -> None:
        super().__init__(message, may_have_run=False)
        self.misdirected = misdirected


class BrokenReplyError(TargetError):
    """A reply that broke off, is not HTTP or belongs to another request."""

    code = 'broken_reply'

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=True)


class SilentTargetError(TargetError):
    """A target that sent nothing for longer than it should."""

    code = 'silent_target'

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=True)


class LeavingError(TargetError):
    """The engine leaves, and the generation should go on elsewhere."""

    code = 'engine_leaving'

    def __init__(self) -> None:
        super().__init__('the engine leaves', may_have_run=True)


class DirectoryError(GatewayError):
    """The platform's directory did not answer as it should."""

    code = 'directory_error'


class HistoryLostError(DirectoryError):
    """The directory no longer has the changes that were asked for."""

    code = 'history_lost'


class OldViewError(GatewayError):
    """A gateway's view of the directory is too old to be passed on."""

    code = 'old_view'


class LargeChangeError(GatewayError):
    """A change of the directory is too large to be passed on."""

    code = 'large_change'
