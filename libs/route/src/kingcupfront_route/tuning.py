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
    home_gain: float = 0.1
    patience: float = 1.0
    prefill_tokens: int = 2048


STALLS = Tuning(patience=0.4)
GAPS = Tuning(reserve_deviations=1.25, home_gain=0.3, patience=0.6)
BY_GOAL = {'stalls': STALLS, 'gaps': GAPS}
