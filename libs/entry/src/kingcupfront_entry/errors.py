"""Failures that an entry answers to its callers."""

from kingcupfront_core import errors


class NotAllowedError(errors.BadInputError):
    """A caller without a valid key, or a team without the service."""

    code = 'not_allowed'


class UnknownServiceError(errors.BadInputError):
    """A service or model that no object names."""

    code = 'unknown_service'


class MalformedError(errors.BadInputError):
    """A request that breaks the rules of HTTP."""

    code = 'malformed'


class TruncatedError(MalformedError):
    """A request that ended before its declared end."""

    code = 'truncated'


class SlowRequestError(errors.BadInputError):
    """A request that did not arrive in time."""

    code = 'request_timeout'


class TooLargeError(errors.BadInputError):
    """A request over the limit of its size."""

    code = 'too_large'


class LineTooLongError(errors.BadInputError):
    """A request line over the limit of its size."""

    code = 'line_too_long'


class HeadersTooLargeError(errors.BadInputError):
    """Headers over the limit of their size."""

    code = 'headers_too_large'


class NoRouteError(errors.BadInputError):
    """A path or method that the system does not serve."""

    code = 'no_route'


class InvalidFieldError(errors.BadInputError):
    """A field of a request that has no acceptable value.

    :param message: what is wrong.
    :param param: the name of the field.
    """

    code = 'invalid_field'

    def __init__(self, message: str, param: str) -> None:
        super().__init__(message)
        self.param = param


class UnexpectedError(errors.KingcupfrontError):
    """A fault of the system's own, which its log tells more about."""


class NotReadyError(errors.KingcupfrontError):
    """An entry that has no configuration yet."""

    code = 'not_ready'


class DrainingError(errors.KingcupfrontError):
    """An entry that is shutting down and issues no more permits."""

    code = 'draining'
