"""Chooses when a refused caller should retry.

Load pattern: many callers are refused at the same moment. Their delays are
random, so that the retries do not coincide.
"""

import random

from kingcupfront_gateway import errors

PLAIN_DELAY_SECONDS = (0.1, 0.5)
# Generations last for seconds, and so do overloads, so refused generations are
# deferred as far as their deadlines permit. A caller retries within the first
# third of the time that it has left.
GENERATION_DELAY_FRACTIONS = (0.1, 0.3)
MIN_GENERATION_DELAY_SECONDS = 0.3
# Callers that wait for a silence to end return within this time at least.
MIN_SPREAD_SECONDS = 0.5


def random_delay(seconds_left: float | None, rng: random.Random) -> float:
    """Return a random delay in seconds.

    :param seconds_left: the time that the caller has for a generation; None
        for a plain request.
    """
    if seconds_left is None:
        return rng.uniform(*PLAIN_DELAY_SECONDS)
    return max(
        MIN_GENERATION_DELAY_SECONDS,
        seconds_left * rng.uniform(*GENERATION_DELAY_FRACTIONS),
    )


def silence_refusal(
    wait: float, seconds_left: float, rng: random.Random
) -> errors.RefusedError:
    """Return the refusal of a request whose targets all asked for silence.

    Callers return spread over the time after the first target is back. One
    that has less time left is not told to return.

    :param wait: the seconds until the first target is back.
    :param seconds_left: the time that the caller has.
    """
    delay = wait + rng.uniform(0, max(MIN_SPREAD_SECONDS, wait / 2))
    return errors.RefusedError(
        503, 'targets_silent', delay if delay < seconds_left else None
    )


def refusal(
    reason: str, seconds_left: float | None, rng: random.Random
) -> errors.RefusedError:
    """Return the refusal of a request that may be retried.

    :param reason: the cause in one word, for logs and counters.
    :param seconds_left: the time that the caller has for a generation; None
        for a plain request.
    """
    return errors.RefusedError(503, reason, random_delay(seconds_left, rng))
