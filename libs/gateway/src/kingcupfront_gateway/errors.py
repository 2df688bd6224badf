"""The exceptions of the gateway."""

from kingcupfront_core import errors


class GatewayError(errors.KingcupfrontError):
    """The base of the gateway's exceptions."""

    code = 'gateway_error'


class MalformedRequestError(GatewayError):
    """A caller's request is not valid HTTP or lacks a field.

    :param status: the HTTP status of the response.
    """

    code = 'malformed_request'

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class RefusedError(GatewayError):
    """A request was refused: it was not executed and will not be.

    :param status: the HTTP status of the response.
    :param reason: the cause in one word, for logs and counters.
    :param retry_after: seconds after which the caller may retry, or None.
    """

    code = 'refused'

    def __init__(
        self, status: int, reason: str, retry_after: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


class EndedRequestError(errors.KingcupfrontError):
    """The base of the reasons for which a request ends at once.

    They are raised in the request's task wherever it waits. Code that handles
    the failure of a target or a call must let them pass, so this is no
    :class:`GatewayError`.
    """

    code = 'request_ended'


class CallerLeftError(EndedRequestError):
    """The caller disconnected before it had its response."""

    code = 'caller_left'


class OverBudgetError(EndedRequestError):
    """The callers together hold more than the process has for them.

    :param cause: what is used up, in one word.
    """

    code = 'over_budget'

    def __init__(self, cause: str) -> None:
        super().__init__(f'callers use up the {cause} of the process')


class OutOfTimeError(EndedRequestError):
    """The request's deadline or its route's timeout has passed."""

    code = 'out_of_time'


class StoppingError(EndedRequestError):
    """The process exits before the request has its response."""

    code = 'stopping'

    def __init__(self) -> None:
        super().__init__('the process exits')


class TargetError(GatewayError):
    """The base of failures of a target.

    :param may_have_run: whether the target may have executed the request.
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


class SilencedError(UnreachableError):
    """A target has asked to be sent nothing for a while."""

    code = 'silenced'


class ForbiddenTargetError(UnreachableError):
    """A request may not reach a target: its region, or an evacuation."""

    code = 'target_forbidden'


class OtherVersionError(ForbiddenTargetError):
    """A target's software is not the version that began the stream."""

    code = 'other_software_version'


class UnknownStartError(ForbiddenTargetError):
    """A target did not tell whether it has started again."""

    code = 'unknown_start'


class ColdTargetError(ForbiddenTargetError):
    """A target has just started, and its share of requests is used up."""

    code = 'target_cold'


class RejectedError(TargetError):
    """A target stated that it did not execute the request.

    :param misdirected: whether another target has its address now.
    """

    code = 'rejected'

    def __init__(self, message: str, *, misdirected: bool = False) -> None:
        super().__init__(message, may_have_run=False)
        self.misdirected = misdirected


class BrokenReplyError(TargetError):
    """A reply is truncated, is not HTTP or answers another request."""

    code = 'broken_reply'

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=True)


class UnprovenRefusalError(TargetError):
    """A target failed with the status of a refusal without stating that it is.

    Its code is part of the response, so it speaks of no refusal.
    """

    code = 'target_failed'

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=True)


class SilentTargetError(TargetError):
    """A target sent nothing within its time limit."""

    code = 'silent_target'

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=True)


class BlockedPromptError(TargetError):
    """A part of the prompt was found to crash engines after it was sent."""

    code = 'crashing_prompt_part'

    def __init__(self, parts: str) -> None:
        super().__init__(
            f'prompt parts {parts} crash engines', may_have_run=True
        )


class LeavingError(TargetError):
    """The engine leaves, so the generation has to continue elsewhere."""

    code = 'engine_leaving'

    def __init__(self) -> None:
        super().__init__(
            'engine leaves; continuing from the backup', may_have_run=True
        )


class StoppedRunError(TargetError):
    """The run was stopped, or may be, so that it continues elsewhere.

    :param run_state: what is known of the run.
    """

    code = 'run_stopped'

    def __init__(self, run_state: str) -> None:
        super().__init__(f'stream ended; run {run_state}', may_have_run=True)


class DirectoryError(GatewayError):
    """The platform's directory failed or sent an invalid answer."""

    code = 'directory_error'


class HistoryLostError(DirectoryError):
    """The directory no longer keeps the requested changes."""

    code = 'history_lost'


class RestoredDirectoryError(DirectoryError):
    """The directory was restored from a copy; it has to be read again.

    :param era: its era since then.
    """

    code = 'directory_restored'

    def __init__(self, era: int) -> None:
        super().__init__(f'the directory is in era {era}')
        self.era = era


class OldEraError(DirectoryError):
    """A response dates from before a restore of the directory."""

    code = 'old_era'


class OldViewError(GatewayError):
    """A gateway's view of the directory is too old to share with peers."""

    code = 'old_view'


class LargeChangeError(GatewayError):
    """A change of the directory is too large to share with peers."""

    code = 'large_change'
