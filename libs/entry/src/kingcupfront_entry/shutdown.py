"""Graceful shutdown: nothing in progress is cut off."""

from collections.abc import Iterator
import contextlib
import dataclasses
import logging
import signal

import gevent
from gevent import event

from kingcupfront_entry import responses
from kingcupfront_entry import state

LOG = logging.getLogger(__name__)
POLL_SECONDS = 0.05
# An answer to a peer leaves within a poll after its request has ended.
QUIET_POLLS = 4


@dataclasses.dataclass(frozen=True)
class Signals:
    """What an operator has asked for.

    :param stop: set by the first SIGTERM or SIGINT.
    :param hurry: set by the second: wait for requests, not for keys.
    """

    stop: event.Event = dataclasses.field(default_factory=event.Event)
    hurry: event.Event = dataclasses.field(default_factory=event.Event)

    def receive(self) -> None:
        """Take in one signal."""
        (self.hurry if self.stop.is_set() else self.stop).set()


@contextlib.contextmanager
def signals() -> Iterator[Signals]:
    """Catch the signals that stop a process while the block runs."""
    caught = Signals()
    handlers = [
        gevent.signal_handler(number, caught.receive)
        for number in (signal.SIGTERM, signal.SIGINT)
    ]
    try:
        yield caught
    finally:
        for handler in handlers:
            handler.cancel()


def drain(
    process: state.State, counted: responses.ResponseTracker, caught: Signals
) -> None:
    """Let everything in progress end, in its own time.

    :param process: the process.
    :param counted: the responses to callers.
    :param caught: the signals; the second one skips what is left of the
        notice and the wait for keys.
    """
    options = process.settings
    process.draining = True
    if 'peers' in process.components_by_name:
        process.components_by_name['peers'].leave()
    LOG.info('drain_started', extra=_left(process, counted))
    with gevent.Timeout(options.drain_deadline_seconds, False):
        caught.hurry.wait(options.drain_notice_seconds)
        quiet = 0
        while quiet < QUIET_POLLS:
            gevent.sleep(POLL_SECONDS)
            left = _left(process, counted)
            if caught.hurry.is_set():
                left.pop('keys')
            quiet = 0 if any(left.values()) else quiet + 1
    LOG.info('drain_ended', extra=_left(process, counted))


def _left(
    process: state.State, counted: responses.ResponseTracker
) -> dict[str, int]:
    keys = process.components_by_name.get('keys')
    return {
        'requests': len(process.active_requests_by_id),
        'responses': counted.in_progress,
        'keys': keys.pending if keys is not None else 0,
    }
