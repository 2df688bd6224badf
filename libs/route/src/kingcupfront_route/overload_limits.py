"""Limits by which an entry sheds load, from the policy object."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OverloadLimits:
    """How many requests may be queued, and how many may be retried.

    :param queue_limit: requests of one service that may wait at the entry.
    :param retry_fraction: retries allowed per first attempt.
    """

    queue_limit: int = 512
    retry_fraction: float = 0.1
