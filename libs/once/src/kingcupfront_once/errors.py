"""Failures of calls to plain services."""

from kingcupfront_core import errors


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


class OwnerGoneError(errors.KingcupfrontError):
    """A key whose owner has ended, so that nobody may run it."""

    code = 'owner_gone'


class TooManyKeysError(errors.KingcupfrontError):
    """An entry that holds as many keys as it may."""

    code = 'too_many_keys'
