"""Parameters of the routing policy that a deployment chooses."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Tuning:
    """Weights that trade one measure off against another.

    Costs are in fractions of a target's KV cache.

    :param reserve_deviations: KV cache kept free on a target, in standard
        deviations of what its running requests may still take.
    :param batch_fraction: the most requests on a target, as a fraction of
        its slots.
    :param crossing_cost: the cost of a target in another data centre.
    :param affinity_bonus: how much fuller the affinity target of a prefix
        may be than another target and still be chosen.
    :param max_wait_fraction: the fraction of the time to its deadline that a
        request may wait at the entry before it is refused.
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
