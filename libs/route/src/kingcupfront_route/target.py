"""What an entry knows of a target."""

import dataclasses
import typing

from kingcupfront_core import address as addresses
from kingcupfront_route import ledger as ledgers


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
    :param lag_seconds: how old the report was when received, if known.
    """

    number: int
    taken_at: float
    running: int = 0
    waiting: int = 0
    free_blocks: int = 0
    total_blocks: int = 0
    preemptions: int = 0
    leaving: bool = False
    lag_seconds: float = 0.0

    @property
    def measured_at(self) -> float:
        """The monotonic second that the report describes."""
        return self.taken_at - self.lag_seconds

    @property
    def is_plausible(self) -> bool:
        """Whether the numbers can be true together."""
        return (
            0 <= self.free_blocks <= self.total_blocks
            and self.running >= 0
            and self.waiting >= 0
            and self.lag_seconds >= 0
        )


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
    :param ledger: own changes of load that reports may not show yet.
    """

    id: str
    address: addresses.Address
    service: str
    place: str
    slots: int = 32
    block_tokens: int = 16
    outstanding: int = 0
    report: LoadReport | None = None
    leaving: bool = False
    ledger: ledgers.Ledger = dataclasses.field(
        default_factory=ledgers.Ledger, repr=False, compare=False
    )

    @property
    def is_leaving(self) -> bool:
        """Whether the list or the target itself says that it leaves."""
        return self.leaving or bool(self.report and self.report.leaving)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return what a state dump shows of it."""
        return {
            'id': self.id,
            'address': str(self.address),
            'service': self.service,
            'place': self.place,
            'slots': self.slots,
            'outstanding': self.outstanding,
            'report': self.report and dataclasses.asdict(self.report),
            'leaving': self.is_leaving,
        }
