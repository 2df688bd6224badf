"""The outcomes of a request, shared by all packages."""

import enum


class Outcome(enum.StrEnum):
    """How a request ended.

    ``NOT_RUN`` is reported only if no byte of the request can have reached
    a target, or if the target refused the request before running it.
    """

    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'
    LOST = 'lost'
