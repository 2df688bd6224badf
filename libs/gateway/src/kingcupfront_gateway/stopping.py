"""Whether a process that shuts down may still accept a request.

Load pattern: instances are restarted one after the other while generations
run longer than the time until SIGKILL, and callers keep using the connections
that they have. A request that would be cut off is refused as not run, so that
another instance serves it from the start.
"""

import dataclasses

# Reserved for a request to end and its response to reach the caller.
RESPONSE_MARGIN_SECONDS = 1.0
# Before SIGKILL: when requests without a response get a final one, and when
# the process exits by itself.
FINAL_RESPONSE_MARGIN_SECONDS = 0.7
EXIT_MARGIN_SECONDS = 0.4
# The platform excuses what is cut in this last part of the grace period.
EXCUSED_PART = 1 / 6
# The parts of a short grace period that the margins of an event loop without
# delays take.
MAX_FINAL_RESPONSE_MARGIN_PART = 1 / 8
MAX_EXIT_MARGIN_PART = 1 / 16
# The platform excuses requests that were sent up to three seconds after
# SIGTERM and are still worked on at the end; the signal may arrive late.
EARLY_SECONDS = 2.5
# While a generation goes on at another engine its caller gets no events.
# Moving the last part of a KV cache times out after 3 s.
LONGEST_PAUSE_SECONDS = 3.5
# Approximate time per output token of an engine at half load.
DECODE_SECONDS_PER_TOKEN = 0.012
PREFILL_SECONDS = 0.6


def generation_seconds(output_tokens: int) -> float:
    """Return the expected duration of a generation in seconds.

    :param output_tokens: the number of output tokens.
    """
    return PREFILL_SECONDS + output_tokens * DECODE_SECONDS_PER_TOKEN


@dataclasses.dataclass
class Shutdown:
    """A shutdown in progress; times are monotonic.

    :param since: when the process was told to stop.
    :param grace: seconds from then until the process is killed.
    :param longest_delay: seconds by which the event loop was late at most.
    """

    since: float
    grace: float
    longest_delay: float = 0.0

    def record_delay(self, seconds: float) -> None:
        """Record by how much the event loop was late."""
        self.longest_delay = max(self.longest_delay, seconds)

    @property
    def final_response_at(self) -> float:
        """When requests without a response get a final one.

        An event loop that is busy comes to it late, and so do the tasks that
        send the responses.
        """
        margin = min(
            FINAL_RESPONSE_MARGIN_SECONDS,
            self.grace * MAX_FINAL_RESPONSE_MARGIN_PART,
        )
        return self._end(margin + 2 * self.longest_delay)

    @property
    def exit_at(self) -> float:
        """When the process exits."""
        margin = min(EXIT_MARGIN_SECONDS, self.grace * MAX_EXIT_MARGIN_PART)
        return self._end(margin + self.longest_delay)

    def allows_pause(self, now: float) -> bool:
        """Return whether a generation may still go on at another engine.

        If the process exits during the pause, no engine works on the
        generation any more and its caller has a part of it.
        """
        return now + LONGEST_PAUSE_SECONDS <= self.exit_at

    def _end(self, margin: float) -> float:
        # Not before the deadline of a request that was accepted by it.
        margin = min(
            margin, RESPONSE_MARGIN_SECONDS, self.grace * EXCUSED_PART
        )
        return self.since + self.grace - margin

    def accepts(
        self,
        now: float,
        *,
        expected_seconds: float,
        seconds_to_deadline: float,
        may_repeat: bool,
    ) -> bool:
        """Return whether a request may still be accepted.

        Only its deadline bounds how long a request takes. Right after the
        start of the shutdown, while the balancer still sends callers here, the
        expected duration decides for those that can be repeated elsewhere.

        :param expected_seconds: the expected duration of the request.
        :param seconds_to_deadline: how long the caller waits at most.
        :param may_repeat: whether the request may run more than once.
        """
        latest_end = self.since + self.grace - RESPONSE_MARGIN_SECONDS
        if now + seconds_to_deadline <= latest_end:
            return True
        is_early = now - self.since <= EARLY_SECONDS
        return is_early and may_repeat and now + expected_seconds < latest_end
