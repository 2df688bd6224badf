"""State of one entry that its routing policies read, besides the targets."""

import dataclasses
import random

from kingcupfront_route import length_estimator
from kingcupfront_route import prefix_index
from kingcupfront_route import rate
from kingcupfront_route import tuning as tunings


@dataclasses.dataclass
class PolicyContext:
    """State that a policy reads and never changes.

    :param rng: the source of random numbers.
    :param lengths: estimates the output lengths of requests.
    :param prefixes: which targets hold which prompt prefixes.
    :param tuning: the weights that the deployment has chosen.
    :param entries: the number of entries, this one included.
    :param block_rates_by_service: blocks of KV cache per second that this
        entry has sent to each service.
    :param reporting_services: services of which a target has ever sent a
        usable load report.
    """

    rng: random.Random
    lengths: length_estimator.LengthEstimator = dataclasses.field(
        default_factory=length_estimator.LengthEstimator
    )
    prefixes: prefix_index.PrefixIndex = dataclasses.field(
        default_factory=prefix_index.PrefixIndex
    )
    tuning: tunings.Tuning = tunings.FEWER_STALLS
    entries: int = 1
    block_rates_by_service: dict[str, rate.DecayingRate] = dataclasses.field(
        default_factory=dict
    )
    reporting_services: set[str] = dataclasses.field(default_factory=set)

    def has_reports(self, service: str) -> bool:
        """Return whether a target of a service has ever reported its load."""
        return service in self.reporting_services
