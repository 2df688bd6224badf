"""The outcomes of a request, in one vocabulary for all of the system."""

import enum


class Outcome(enum.StrEnum):
    """How a request ended.

    ``NOT_RUN`` is answered only where no byte of the request can have
    reached a target, or where the target refused it before running it.
    """

    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'
    LOST = 'lost'
