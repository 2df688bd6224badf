"""Whether a process that shuts down may still accept a request.

Load pattern: instances are restarted one after the other while generations
run longer than the time until SIGKILL. A request that would be cut off is
refused as not run, so that another instance serves it from the start.
"""

# Reserved for the request to end and its response to reach the caller.
RESPONSE_MARGIN_SECONDS = 1.0
# Approximate time per output token of an engine at half load.
DECODE_SECONDS_PER_TOKEN = 0.012
PREFILL_SECONDS = 0.6


def generation_seconds(output_tokens: int) -> float:
    """Return the expected duration of a generation in seconds.

    :param output_tokens: the number of output tokens.
    """
    return PREFILL_SECONDS + output_tokens * DECODE_SECONDS_PER_TOKEN


def can_finish(
    expected_seconds: float, stopping_since: float, grace: float, now: float
) -> bool:
    """Return whether a request ends before the process is killed.

    :param expected_seconds: the expected duration of the request.
    :param stopping_since: when the process was told to stop, in seconds.
    :param grace: seconds from then until the process is killed.
    """
    return (
        now + expected_seconds
        < stopping_since + grace - RESPONSE_MARGIN_SECONDS
    )
