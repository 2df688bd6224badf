"""When a caller that was refused should come back.

Load pattern: many callers are refused at the same moment. Their returns are
spread, so that they do not meet again.
"""

import random

from kingcupfront_gateway import errors

PLAIN_DELAY_SECONDS = (0.1, 0.5)
# Generations last for seconds, and so does a lack of room: the load of callers
# that were refused goes to later, as far as they have time. A caller comes
# back within a third of the time that it has left.
GENERATION_DELAY_FRACTIONS = (0.1, 0.3)
MIN_GENERATION_DELAY_SECONDS = 0.3


def random_delay(seconds_left: float | None, rng: random.Random) -> float:
    """Return seconds after which to come back.

    :param left: seconds that the caller has for a generation; None for a
        plain request.
    """
    if seconds_left is None:
        return rng.uniform(*PLAIN_DELAY_SECONDS)
    return max(
        MIN_GENERATION_DELAY_SECONDS,
        seconds_left * rng.uniform(*GENERATION_DELAY_FRACTIONS),
    )


def refusal(
    reason: str, seconds_left: float | None, rng: random.Random
) -> errors.RefusedError:
    """Return the refusal of a request that may come back.

    :param reason: the cause in one word, for logs and counters.
    :param left: seconds that the caller has for a generation; None for a
        plain request.
    """
    return errors.RefusedError(503, reason, random_delay(seconds_left, rng))
