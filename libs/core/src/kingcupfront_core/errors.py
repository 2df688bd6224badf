"""The base classes of all exceptions that kingcupfront raises.

Every failure has its own type. Each library derives its exceptions from
:class:`KingcupfrontError` in its ``errors`` module.
"""


class KingcupfrontError(Exception):
    """The base class of all kingcupfront exceptions."""

    code = 'internal_error'


class BadInputError(KingcupfrontError):
    """Invalid input from outside the process."""

    code = 'bad_input'


class TimedOutError(KingcupfrontError):
    """A wait that exceeded its time limit."""

    code = 'timed_out'


class SignatureError(BadInputError):
    """A signed value that is forged, damaged or expired."""

    code = 'bad_signature'


class UnknownNameError(BadInputError):
    """A name that is not registered."""

    code = 'unknown_name'
