"""Whether a process that stops may still take a request.

Load pattern: instances are restarted in turn while generations run that
last longer than the time until SIGKILL. What would be cut is refused as not
run, so that another instance serves it from the start.
"""

# Kept for the request to end and the answer to reach its caller.
RESPONSE_MARGIN_SECONDS = 1.0
# An engine that is half full makes a token in about this time.
DECODE_SECONDS_PER_TOKEN = 0.012
PREFILL_SECONDS = 0.6


def generation_seconds(output_tokens: int) -> float:
    """Return how long a generation is expected to last.

    :param output_tokens: the tokens that it makes.
    """
    return PREFILL_SECONDS + output_tokens * DECODE_SECONDS_PER_TOKEN


def can_finish(
    expected_seconds: float, stopping_since: float, grace: float, now: float
) -> bool:
    """Return whether a request ends before the process has to.

    :param seconds: how long the request lasts.
    :param since: the second at which the process was told to stop.
    :param grace: seconds from then until the process is killed.
    """
    return (
        now + expected_seconds
        < stopping_since + grace - RESPONSE_MARGIN_SECONDS
    )
