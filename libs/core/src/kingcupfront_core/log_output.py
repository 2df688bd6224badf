"""Writes log lines to standard output, bounded and without ever blocking."""

import logging
import os
import select

from gevent import monkey

from kingcupfront_core import clock

# A write of so many bytes to a pipe that has room never blocks; see
# PIPE_BUF in pipe(7).
MAX_LINE_BYTES = 4096
LINES_PER_SECOND = 200.0
BURST_LINES = 1000.0
STANDARD_OUTPUT = 1
CUT = b'...\n'
# The one of the standard library: it only looks, and switches to no task.
_poll = monkey.get_original('select', 'poll')


class BoundedOutput(logging.Handler):
    """A handler that drops lines where others would wait.

    Lines are dropped past a rate, and while nobody reads. How many were is
    told by the next line that passes; warnings pass the rate.

    :param descriptor: the file descriptor to write to.
    :param time: the clock of the rate.
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
        self._allowed = BURST_LINES
        self._filled_at = time.monotonic()
        self._unreported = 0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        if not self._take(record.levelno):
            self._drop()
            return
        try:
            line = self.format(record)
        except (TypeError, ValueError):
            self.handleError(record)
            return
        if self._unreported:
            line += f' dropped_before={self._unreported}'
        if self._write(line.encode(errors='replace') + b'\n'):
            self._unreported = 0
        else:
            self._drop()

    def _drop(self) -> None:
        self.dropped += 1
        self._unreported += 1

    def _take(self, level: int) -> bool:
        now = self._clock.monotonic()
        passed = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._allowed = min(
            BURST_LINES, self._allowed + passed * LINES_PER_SECOND
        )
        if self._allowed < 1 and level < logging.WARNING:
            return False
        self._allowed = max(0.0, self._allowed - 1)
        return True

    def _write(self, line: bytes) -> bool:
        if len(line) > MAX_LINE_BYTES:
            line = line[: MAX_LINE_BYTES - len(CUT)] + CUT
        try:
            if not self._poll.poll(0):
                return False
            os.write(self._descriptor, line)
        except OSError:
            # Nobody reads any more; the process goes on.
            return False
        return True
