"""Whether a process that stops may still take a request.

Load pattern: instances are restarted in turn while generations run that
last longer than the time until SIGKILL. What would be cut is refused as not
run, so that another instance serves it from the start.
"""

# Kept for the request to end and the answer to reach its caller.
MARGIN_SECONDS = 1.0
# An engine that is half full makes a token in about this time.
TOKEN_SECONDS = 0.012
PROMPT_SECONDS = 0.6


def generation_seconds(output_tokens: int) -> float:
    """Return how long a generation is expected to last.

    :param output_tokens: the tokens that it makes.
    """
    return PROMPT_SECONDS + output_tokens * TOKEN_SECONDS


def can_finish(seconds: float, since: float, grace: float, now: float) -> bool:
    """Return whether a request ends before the process has to.

    :param seconds: how long the request lasts.
    :param since: the second at which the process was told to stop.
    :param grace: seconds from then until the process is killed.
    """
    return now + seconds < since + grace - MARGIN_SECONDS
