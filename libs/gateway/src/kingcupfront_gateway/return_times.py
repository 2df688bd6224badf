"""When a caller that was refused should come back.

Load pattern: many callers are refused at the same moment. Their returns are
spread, so that they do not meet again.
"""

import random

from kingcupfront_gateway import errors

PLAIN_SECONDS = (0.1, 0.5)
GENERATION_SECONDS = (0.3, 1.5)


def spread(is_generation: bool, rng: random.Random) -> float:
    """Return seconds after which to come back.

    :param is_generation: whether an engine is asked for.
    """
    return rng.uniform(
        *(GENERATION_SECONDS if is_generation else PLAIN_SECONDS)
    )


def refusal(
    reason: str, is_generation: bool, rng: random.Random
) -> errors.RefusedError:
    """Return the refusal of a request that may come back.

    :param reason: the cause in one word, for logs and counters.
    :param is_generation: whether an engine is asked for.
    """
    return errors.RefusedError(503, reason, spread(is_generation, rng))
