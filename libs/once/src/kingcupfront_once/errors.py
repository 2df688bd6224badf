"""Failures of calls to plain services."""

from kingcupfront_core import errors


class BadKeyError(errors.BadInputError):
    """An idempotency key that was forged, has expired or names another."""

    code = 'bad_key'


class KeyReuseError(BadKeyError):
    """A key that was used before with another request."""

    code = 'key_reused'
