"""A rate-limited log handler that never blocks the process."""

import logging
import os
import select

from gevent import monkey

from kingcupfront_core import clock

# PIPE_BUF on Linux: a write of at most this size to a pipe that poll()
# reports as writable does not block; see pipe(7).
MAX_LINE_BYTES = 4096
LINES_PER_SECOND = 200.0
BURST_LINES = 1000.0
STANDARD_OUTPUT = 1
TRUNCATION_MARK = b'...\n'
# The standard library's poll(), not gevent's: it checks whether the pipe is
# writable without switching greenlets.
_poll = monkey.get_original('select', 'poll')


class RateLimitedHandler(logging.Handler):
    """A log handler that drops lines instead of blocking.

    Lines are dropped above the rate limit and while the descriptor is not
    writable. The next line that is written reports how many were dropped
    before it. Warnings and errors are exempt from the rate limit.

    :param descriptor: the file descriptor to write to.
    :param time: the clock that the rate limit is measured with.
    """

    def __init__(
        self,
        descriptor: int = STANDARD_OUTPUT,
        time: clock.Clock = clock.SYSTEM,
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._poll = _poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._clock = time
        self._available_lines = BURST_LINES
        self._refilled_at = time.monotonic()
        self._unreported_drops = 0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop and count it."""
        if not self._admit(record.levelno):
            self._count_drop()
            return
        try:
            line = self.format(record)
        except (TypeError, ValueError):
            self.handleError(record)
            return
        if self._unreported_drops:
            line += f' dropped_before={self._unreported_drops}'
        if self._write(line.encode(errors='replace') + b'\n'):
            self._unreported_drops = 0
        else:
            self._count_drop()

    def _count_drop(self) -> None:
        self.dropped += 1
        self._unreported_drops += 1

    def _admit(self, level: int) -> bool:
        now = self._clock.monotonic()
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._available_lines = min(
            BURST_LINES, self._available_lines + elapsed * LINES_PER_SECOND
        )
        if self._available_lines < 1 and level < logging.WARNING:
            return False
        self._available_lines = max(0.0, self._available_lines - 1)
        return True

    def _write(self, line: bytes) -> bool:
        if len(line) > MAX_LINE_BYTES:
            line = (
                line[: MAX_LINE_BYTES - len(TRUNCATION_MARK)] + TRUNCATION_MARK
            )
        try:
            if not self._poll.poll(0):
                return False
            os.write(self._descriptor, line)
        except OSError:
            # The reader has closed the pipe; logging must not end the process.
            return False
        return True
