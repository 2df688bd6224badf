"""The exception tree of kingcupfront.

Every failure has a type. Libraries add their own children of
:class:`KingcupfrontError` in their own ``errors`` modules.
"""


class KingcupfrontError(Exception):
    """The base of every failure that kingcupfront reports."""

    code = 'internal_error'


class BadInputError(KingcupfrontError):
    """Input from outside that cannot be accepted."""

    code = 'bad_input'


class TimedOutError(KingcupfrontError):
    """A bounded wait that ran out."""

    code = 'timed_out'


class SignatureError(BadInputError):
    """A signed value that was forged, damaged or has expired."""

    code = 'bad_signature'


class UnknownNameError(BadInputError):
    """A name that a registry does not hold."""

    code = 'unknown_name'
