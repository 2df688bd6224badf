"""Errors that an entry returns to its callers."""

from kingcupfront_core import errors
from kingcupfront_core import outcomes


class NotAllowedError(errors.BadInputError):
    """A caller without a valid API key, or without access to a stream."""

    code = 'not_allowed'


class UnknownServiceError(errors.BadInputError):
    """A service that does not exist or that the team cannot use."""

    code = 'unknown_service'


class MalformedError(errors.BadInputError):
    """A request that violates the HTTP protocol."""

    code = 'malformed'


class TruncatedError(MalformedError):
    """A request that ended before its declared length."""

    code = 'truncated'


class SlowRequestError(errors.BadInputError):
    """A request that did not arrive within the time limit."""

    code = 'request_timeout'


class TooLargeError(errors.BadInputError):
    """A request body over the size limit."""

    code = 'too_large'


class LineTooLongError(errors.BadInputError):
    """A request line over the length limit."""

    code = 'line_too_long'


class HeadersTooLargeError(errors.BadInputError):
    """Headers over the limit on their size or number."""

    code = 'headers_too_large'


class NoRouteError(errors.BadInputError):
    """A path or method that the system does not serve."""

    code = 'no_route'


class InvalidFieldError(errors.BadInputError):
    """A request with a field that is missing or has an invalid value.

    :param message: what is wrong with the field.
    :param param: the name of the field.
    """

    code = 'invalid_field'

    def __init__(self, message: str, param: str) -> None:
        super().__init__(message)
        self.param = param


class OverBudgetError(errors.KingcupfrontError):
    """The callers together hold more than the process has for them."""

    code = 'over_budget'
    outcome = outcomes.Outcome.NOT_RUN


class UnexpectedError(errors.KingcupfrontError):
    """An internal error; the log of the entry has the details."""


class NotReadyError(errors.KingcupfrontError):
    """An entry that has no configuration yet."""

    code = 'not_ready'


class DrainingError(errors.KingcupfrontError):
    """An entry that is shutting down and does not accept the request."""

    code = 'draining'
    outcome = outcomes.Outcome.NOT_RUN
