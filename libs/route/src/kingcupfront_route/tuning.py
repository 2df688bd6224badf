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
    :param prefix_weight: what a prompt token that needs no computing is
        worth, relative to one that does.
    :param prefill_tokens: prompt tokens that a target computes in one step.
    """

    reserve_deviations: float = 1.0
    batch_fraction: float = 1.0
    crossing_cost: float = 0.1
    prefix_weight: float = 1.0
    prefill_tokens: int = 2048


STALLS = Tuning()
GAPS = Tuning(reserve_deviations=2.0, batch_fraction=0.8)
BY_GOAL = {'stalls': STALLS, 'gaps': GAPS}
