"""What the policies of one entry know besides the targets."""

import dataclasses
import random

from kingcupfront_route import lengths as distributions
from kingcupfront_route import prefixes as prefix_index
from kingcupfront_route import rate
from kingcupfront_route import tuning as tunings


@dataclasses.dataclass
class Context:
    """State that a policy reads and never changes.

    :param rng: the source of random numbers.
    :param lengths: running distributions of output lengths.
    :param prefixes: which targets hold which prompt prefixes.
    :param tuning: the deployment's choices.
    :param entries: the number of entries, this one included.
    :param blocks_by_service: rates of memory blocks sent to each service.
    :param reporting_services: services whose targets have ever reported.
    """

    rng: random.Random
    lengths: distributions.Lengths = dataclasses.field(
        default_factory=distributions.Lengths
    )
    prefixes: prefix_index.Prefixes = dataclasses.field(
        default_factory=prefix_index.Prefixes
    )
    tuning: tunings.Tuning = tunings.STALLS
    entries: int = 1
    blocks_by_service: dict[str, rate.Rate] = dataclasses.field(
        default_factory=dict
    )
    reporting_services: set[str] = dataclasses.field(default_factory=set)

    def reports(self, service: str) -> bool:
        """Return whether targets of a service have ever reported."""
        return service in self.reporting_services
