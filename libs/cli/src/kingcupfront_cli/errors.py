"""The exceptions of the commands."""

from kingcupfront_core import errors


class CannotCheckError(errors.BadInputError):
    """A check that could not be run."""

    code = 'cannot_check'
