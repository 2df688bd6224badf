"""Targets and their load reports, as one entry knows them."""

import dataclasses
import typing

from kingcupfront_core import address as addresses
from kingcupfront_route import ledger as ledgers


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """The load of a target as the target reported it.

    It is out of date by up to the interval between two reports.

    :param number: grows with each report of one process of the target.
    :param taken_at: the monotonic second at which the entry received it.
    :param running: requests in the batch.
    :param waiting: requests that wait for KV cache or a slot.
    :param free_blocks: free blocks of KV cache.
    :param total_blocks: all blocks of KV cache.
    :param preemptions: preemptions since the process started.
    :param leaving: whether the target will leave and takes no new requests.
    :param lag_seconds: how old the report was when received, 0 if unknown.
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
        """The monotonic second at which the target measured its load."""
        return self.taken_at - self.lag_seconds

    @property
    def is_plausible(self) -> bool:
        """Whether the figures are in range and fit together."""
        return (
            0 <= self.free_blocks <= self.total_blocks
            and self.running >= 0
            and self.waiting >= 0
            and self.lag_seconds >= 0
        )


@dataclasses.dataclass
class Target:
    """A back end as one entry knows it.

    :param id: the target's name in the instance list.
    :param address: where it listens.
    :param service: the name of the service that it serves.
    :param place: the name of the data centre where it runs.
    :param slots: the most requests that it runs concurrently.
    :param block_tokens: tokens in a block of KV cache.
    :param outstanding: this entry's requests in progress on it.
    :param report: the newest load report, if any.
    :param leaving: whether the instance list says that it takes no new
        requests.
    :param ledger: this entry's changes of its load that its reports may not
        show yet.
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
        """Whether the instance list or the target itself says it leaves."""
        return self.leaving or bool(self.report and self.report.leaving)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the target's state for a dump."""
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
