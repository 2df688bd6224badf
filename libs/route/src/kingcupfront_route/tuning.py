"""What a deployment chooses of the routing policy."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Tuning:
    """Weights by which one measure pays for another.

    :param reserve_deviations: memory kept free on a target, in standard
        deviations of what its running jobs may still take.
    :param batch_fraction: the most jobs on a target, as a fraction of its
        slots.
    :param crossing_cost: what another place costs, in fractions of a
        target's memory.
    :param home_gain: how much fuller the home of a prefix may be and still
        be chosen, in fractions of a target's memory.
    :param patience: the part of the time to its deadline that a job may
        wait at the entry before it is refused.
    :param prefill_tokens: prompt tokens that a target computes in one step.
    """

    reserve_deviations: float = 1.0
    batch_fraction: float = 1.0
    crossing_cost: float = 0.1
    affinity_bonus: float = 0.1
    max_wait_fraction: float = 1.0
    prefill_tokens: int = 2048


FEWER_STALLS = Tuning(max_wait_fraction=0.4)
SHORTER_GAPS = Tuning(
    reserve_deviations=1.25, affinity_bonus=0.3, max_wait_fraction=0.6
)
BY_GOAL = {'stalls': FEWER_STALLS, 'gaps': SHORTER_GAPS}
