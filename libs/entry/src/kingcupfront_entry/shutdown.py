"""Graceful shutdown, which lets everything in progress finish."""

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
POLL_INTERVAL_SECONDS = 0.05
# Answers to peers are not counted. Each is sent within one poll interval of
# the end of its request, so several idle polls in a row cover them.
IDLE_POLLS = 4


@dataclasses.dataclass(frozen=True)
class Signals:
    """The signals that an operator has sent.

    :param stop: set by the first SIGTERM or SIGINT.
    :param skip_keys: set by the second one, which ends the notice and the
        wait for keys but not the wait for requests.
    """

    stop: event.Event = dataclasses.field(default_factory=event.Event)
    skip_keys: event.Event = dataclasses.field(default_factory=event.Event)

    def record(self) -> None:
        """Record one signal."""
        (self.skip_keys if self.stop.is_set() else self.stop).set()


@contextlib.contextmanager
def handle_signals() -> Iterator[Signals]:
    """Handle SIGTERM and SIGINT while the block runs.

    :returns: the signals received.
    """
    received = Signals()
    handlers = [
        gevent.signal_handler(number, received.record)
        for number in (signal.SIGTERM, signal.SIGINT)
    ]
    try:
        yield received
    finally:
        for handler in handlers:
            handler.cancel()


def drain(
    process: state.State,
    response_tracker: responses.ResponseTracker,
    received: Signals,
) -> None:
    """Wait until everything in progress has ended or the deadline has passed.

    :param process: the state of the process.
    :param response_tracker: the responses in progress.
    :param received: the signals; the second one skips the rest of the notice
        and the wait for keys.
    """
    options = process.settings
    process.draining = True
    if 'peers' in process.components_by_name:
        process.components_by_name['peers'].leave()
    LOG.info('drain_started', extra=_remaining(process, response_tracker))
    with gevent.Timeout(options.drain_deadline_seconds, False):
        received.skip_keys.wait(options.drain_notice_seconds)
        idle_polls = 0
        while idle_polls < IDLE_POLLS:
            gevent.sleep(POLL_INTERVAL_SECONDS)
            remaining = _remaining(process, response_tracker)
            if received.skip_keys.is_set():
                remaining.pop('keys')
            idle_polls = 0 if any(remaining.values()) else idle_polls + 1
    LOG.info('drain_ended', extra=_remaining(process, response_tracker))


def _remaining(
    process: state.State, response_tracker: responses.ResponseTracker
) -> dict[str, int]:
    keys = process.components_by_name.get('keys')
    return {
        'requests': len(process.active_requests_by_id),
        'responses': response_tracker.in_progress,
        'keys': keys.pending if keys is not None else 0,
    }
