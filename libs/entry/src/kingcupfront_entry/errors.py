"""Failures that an entry answers to its callers."""

from kingcupfront_core import errors


class NotAllowedError(errors.BadInputError):
    """A caller without a valid key, or a team without the service."""

    code = 'not_allowed'


class UnknownServiceError(errors.BadInputError):
    """A service or model that no object names."""

    code = 'unknown_service'


class TooLargeError(errors.BadInputError):
    """A request over the limit of its size."""

    code = 'too_large'


class NotReadyError(errors.KingcupfrontError):
    """An entry that has no configuration yet."""

    code = 'not_ready'


class DrainingError(errors.KingcupfrontError):
    """An entry that is shutting down and issues no more permits."""

    code = 'draining'
