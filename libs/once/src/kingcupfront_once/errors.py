"""Failures of calls to plain services."""

from kingcupfront_core import errors
from kingcupfront_core import outcomes


class EarlyAnswerError(errors.KingcupfrontError):
    """A target that sent bytes before it was asked; nothing was sent."""

    code = 'target_unreachable'


class BadKeyError(errors.BadInputError):
    """An idempotency key that was forged, is malformed or names another."""

    code = 'bad_key'


class KeyReuseError(BadKeyError):
    """A key that was used before with another request."""

    code = 'key_reused'


class KeyExpiredError(BadKeyError):
    """A key whose time is over; it may have been used before."""

    code = 'key_expired'
    outcome = outcomes.Outcome.UNKNOWN


class OwnerGoneError(errors.KingcupfrontError):
    """A key whose owner has ended, so that nobody may run it."""

    code = 'owner_gone'
    outcome = outcomes.Outcome.UNKNOWN


class NotClaimedError(errors.KingcupfrontError):
    """A key that not every entry has promised to refuse to others."""

    code = 'not_claimed'
    outcome = outcomes.Outcome.UNKNOWN


class TooManyKeysError(errors.KingcupfrontError):
    """An entry that holds as many keys as it may."""

    code = 'too_many_keys'


class NoAnswerError(errors.KingcupfrontError):
    """A call that ended without an answer of its target.

    :param code: the code of the result.
    :param message: what went wrong.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code
