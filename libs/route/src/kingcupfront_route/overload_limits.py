"""Bounds of an entry's queues and retries, from the policy object."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OverloadLimits:
    """How much may wait and how much may be tried again.

    :param queue_limit: jobs of a service that may wait at the entry.
    :param retry_fraction: retries allowed for each first try.
    """

    queue_limit: int = 512
    retry_fraction: float = 0.1
