"""When a caller that was refused should come back.

Load pattern: many callers are refused at the same moment. Their returns are
spread, so that they do not meet again.
"""

import random

from kingcupfront_gateway import errors

PLAIN_SECONDS = (0.1, 0.5)
# Generations last for seconds, and so does a lack of room: the load of callers
# that were refused goes to later, as far as they have time. A caller comes
# back within a third of the time that it has left.
GENERATION_PARTS = (0.1, 0.3)
FEWEST_SECONDS = 0.3


def spread(left: float | None, rng: random.Random) -> float:
    """Return seconds after which to come back.

    :param left: seconds that the caller has for a generation; None for a
        plain request.
    """
    if left is None:
        return rng.uniform(*PLAIN_SECONDS)
    return max(FEWEST_SECONDS, left * rng.uniform(*GENERATION_PARTS))


def refusal(
    reason: str, left: float | None, rng: random.Random
) -> errors.RefusedError:
    """Return the refusal of a request that may come back.

    :param reason: the cause in one word, for logs and counters.
    :param left: seconds that the caller has for a generation; None for a
        plain request.
    """
    return errors.RefusedError(503, reason, spread(left, rng))
