"""Sends a request to a second target while a slow one is still waited for."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

import gevent
from gevent import pool

from kingcupfront_gateway import clocks
from kingcupfront_gateway import errors
from kingcupfront_gateway import exchange
from kingcupfront_gateway import targets
from kingcupfront_gateway import upstream

# How often it is looked whether the second target has replied.
CHECK_INTERVAL_SECONDS = 0.02
# When a second target is looked for again if there was none.
RETRY_INTERVAL_SECONDS = 0.25
# Of the time that is left when an attempt begins: after it another may begin.
ATTEMPT_FRACTION = 0.5
SERVER_ERROR = 500

Result = tuple[targets.TargetState, exchange.Reply, bytes]


class SecondAttempt:
    """Tries other targets until one replies.

    The slow target may be sound, and the other ones may refuse the request or
    be slow as well.

    :param choose_target: returns the target to try next and takes the retry
        for it; None if there is none now.
    :param send: sends the request to a target and returns the reply with its
        body.
    :param record_failure: called with each target that does not reply.
    :param record_error_reply: called with each target that replies with a
        server error, the reply and its body.
    :param seconds_left: returns the seconds until the request's deadline.
    """

    def __init__(
        self,
        choose_target: Callable[[], targets.TargetState | None],
        send: Callable[[targets.TargetState], tuple[exchange.Reply, bytes]],
        record_failure: Callable[
            [targets.TargetState, errors.TargetError], None
        ],
        record_error_reply: Callable[
            [targets.TargetState, exchange.Reply, bytes], None
        ],
        seconds_left: Callable[[], float],
    ) -> None:
        self._choose_target = choose_target
        self._send = send
        self._record_failure = record_failure
        self._record_error_reply = record_error_reply
        self._seconds_left = seconds_left
        self._attempts = pool.Group()
        # When the next attempt may begin beside one that has not ended.
        self._next_at = 0.0
        self._result: Result | None = None
        # The connection from which the slow target's body is read.
        self._slow_connection: upstream.UpstreamConnection | None = None

    def more_time(self) -> float:
        """Return for how many more seconds to wait for the slow target.

        Called each time that this time has passed. It begins an attempt
        unless there is one, or if that one is slow as well.

        :returns: 0 once another target has replied.
        """
        if self._result is not None:
            return 0.0
        now = clocks.BOOT.monotonic()
        if not self._attempts or now >= self._next_at:
            state = self._choose_target()
            if state is not None:
                self._next_at = now + ATTEMPT_FRACTION * self._seconds_left()
                self._attempts.spawn(self._run, state)
            else:
                self._next_at = now + RETRY_INTERVAL_SECONDS
        return (
            CHECK_INTERVAL_SECONDS
            if self._attempts
            else RETRY_INTERVAL_SECONDS
        )

    @contextlib.contextmanager
    def ending(
        self, connection: upstream.UpstreamConnection
    ) -> Iterator[None]:
        """End the slow reply once another target has replied.

        Its body is read in the block. It may not come to its end.

        :param connection: the connection to the slow target.
        """
        self._slow_connection = connection
        try:
            if self._result is not None:
                self._end_slow_reply()
            yield
        finally:
            # It may carry another request after the block.
            self._slow_connection = None

    def _end_slow_reply(self) -> None:
        if self._slow_connection is not None:
            self._slow_connection.abort(
                errors.SilentTargetError('another target has replied')
            )

    def wait(self) -> Result | None:
        """Wait for the attempts that have begun.

        :returns: the target, its reply and the body; None if there is none,
            or only an error.
        """
        while self._attempts and self._result is None:
            self.more_time()
            gevent.sleep(CHECK_INTERVAL_SECONDS)
        return self._result

    def close(self) -> None:
        """Break off the attempts that have not ended."""
        self._attempts.kill()

    def _run(self, state: targets.TargetState) -> None:
        try:
            reply, body = self._send(state)
        except errors.TargetError as failure:
            self._record_failure(state, failure)
            return
        if reply.status < SERVER_ERROR:
            if self._result is None:
                self._result = state, reply, body
                self._end_slow_reply()
        else:
            self._record_error_reply(state, reply, body)
