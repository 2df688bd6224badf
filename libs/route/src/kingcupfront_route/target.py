"""What an entry knows of a target."""

import dataclasses

from kingcupfront_core import address


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """A target's own view of its load, late by its report interval.

    :param number: grows with each report of one process.
    :param taken_at: the monotonic second at which it was received.
    :param running: requests in the batch.
    :param waiting: requests that wait for memory or a slot.
    :param free_blocks: free blocks of key-value memory.
    :param total_blocks: all blocks of key-value memory.
    :param preemptions: preemptions since the process started.
    :param leaving: whether the target will leave and wants no new work.
    """

    number: int
    taken_at: float
    running: int = 0
    waiting: int = 0
    free_blocks: int = 0
    total_blocks: int = 0
    preemptions: int = 0
    leaving: bool = False


@dataclasses.dataclass
class Target:
    """A back end as one entry sees it.

    :param id: the instance's name in the list.
    :param address: where it listens.
    :param service: the name of the service that it serves.
    :param place: the name of the place where it runs.
    :param slots: requests that it serves side by side.
    :param block_tokens: tokens in a block of key-value memory.
    :param outstanding: own requests in progress on it.
    :param report: the newest report, if any.
    :param leaving: whether it takes no new work.
    """

    id: str
    address: address.Address
    service: str
    place: str
    slots: int = 32
    block_tokens: int = 16
    outstanding: int = 0
    report: LoadReport | None = None
    leaving: bool = False
