"""The exceptions of calls to plain services and their keys."""

from kingcupfront_core import errors
from kingcupfront_core import outcomes


class EarlyAnswerError(errors.KingcupfrontError):
    """A target sent data before the request; the request was not sent."""

    code = 'target_unreachable'


class BadKeyError(errors.BadInputError):
    """An idempotency key is malformed, or was issued to another team."""

    code = 'bad_key'


class UnreadableKeyError(BadKeyError):
    """A key was rejected that another entry might accept.

    Entries may have different secrets while these are rotated, and their
    clocks differ. So the call may have run elsewhere.
    """

    outcome = outcomes.Outcome.UNKNOWN


class KeyReuseError(BadKeyError):
    """A key was used with another call, or for another service."""

    code = 'key_reused'


class KeyExpiredError(BadKeyError):
    """A key has expired; its call may have run before."""

    code = 'key_expired'
    outcome = outcomes.Outcome.UNKNOWN


class OwnerGoneError(errors.KingcupfrontError):
    """The owner of a permit has ended, so no process may run its call."""

    code = 'owner_gone'
    outcome = outcomes.Outcome.UNKNOWN


class NotClaimedError(errors.KingcupfrontError):
    """A claim on a key was not granted by every entry that must grant it."""

    code = 'not_claimed'
    outcome = outcomes.Outcome.UNKNOWN


class TooManyKeysError(errors.KingcupfrontError):
    """The table of keys or of claims of an entry is full."""

    code = 'too_many_keys'


class NoAnswerError(errors.KingcupfrontError):
    """A call ended without a response of its target.

    :param code: the code of the result.
    :param message: the message of the failure.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code
