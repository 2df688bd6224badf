"""Graceful shutdown, which lets everything in progress finish."""

import contextlib
import logging

import gevent
from gevent import event

from kingcupfront_core import clock as clocks
from kingcupfront_core import stop_signal
from kingcupfront_entry import responses
from kingcupfront_entry import state

LOG = logging.getLogger(__name__)
POLL_INTERVAL_SECONDS = 0.05
# Answers to peers are not counted. Each is sent within one poll interval of
# the end of its request, so several idle polls in a row cover them.
IDLE_POLLS = 4
# Final responses are given so long before the deadline, or this part of it
# if that is shorter, so that their callers can read them.
FINAL_RESPONSE_SECONDS = 0.5
FINAL_RESPONSE_PART = 1 / 6
# Also in a process that acts on the deadline late.
MIN_FINAL_ROUNDS = 4
FINAL_POLL_SECONDS = 0.02


class Signals(stop_signal.StopSignal):
    """The signals that an operator has sent.

    The second one ends the notice and the wait for keys but not the wait for
    requests.

    :param clock: measures when the first signal arrived.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        super().__init__(clock)
        self.skip_keys = event.Event()
        self._count = 0

    def record(self, *_: object) -> None:
        """Note that a signal has arrived."""
        super().record()
        self._count += 1

    def announce(self) -> None:
        """Wake the tasks that wait for the signals that have arrived."""
        super().announce()
        if self._count > 1:
            self.skip_keys.set()


def handle_signals() -> contextlib.AbstractContextManager[Signals]:
    """Handle SIGTERM and SIGINT while the block runs.

    :returns: the signals received.
    """
    return stop_signal.handled(clocks.SYSTEM, Signals)


def drain(
    process: state.State,
    response_tracker: responses.ResponseTracker,
    received: Signals,
) -> None:
    """Wait until everything in progress has ended or the deadline has passed.

    Shortly before the deadline each request without a response gets one.

    :param process: the state of the process.
    :param response_tracker: the responses in progress.
    :param received: the signals; the second one skips the rest of the notice
        and the wait for keys.
    """
    options = process.settings
    deadline_seconds = options.drain_deadline_seconds
    now = process.clock.monotonic
    # The operator's own deadline counts from the signal, too.
    stopped_at = received.arrived_at
    if deadline_seconds is not None:
        process.final_response_at = (
            stopped_at + deadline_seconds - _final_seconds(deadline_seconds)
        )
    process.draining = True
    if 'peers' in process.components_by_name:
        process.components_by_name['peers'].leave()
    LOG.info(
        'drain_started',
        extra=_remaining(process, response_tracker)
        | {'signal_delay': round(now() - stopped_at, 3)},
    )
    if deadline_seconds is None:
        _wait_for_requests(process, response_tracker, received)
    else:
        with gevent.Timeout(max(0, process.final_response_at - now()), False):
            _wait_for_requests(process, response_tracker, received)
        _end_requests(process, response_tracker, stopped_at + deadline_seconds)
    LOG.info('drain_ended', extra=_remaining(process, response_tracker))


def _final_seconds(deadline_seconds: float) -> float:
    """Return how long before the deadline final responses are given."""
    return min(FINAL_RESPONSE_SECONDS, deadline_seconds * FINAL_RESPONSE_PART)


def _wait_for_requests(
    process: state.State,
    response_tracker: responses.ResponseTracker,
    received: Signals,
) -> None:
    """Wait for the notice and for everything in progress."""
    received.skip_keys.wait(process.settings.drain_notice_seconds)
    idle_polls = 0
    while idle_polls < IDLE_POLLS:
        gevent.sleep(POLL_INTERVAL_SECONDS)
        remaining = _remaining(process, response_tracker)
        if received.skip_keys.is_set():
            remaining.pop('keys')
        idle_polls = 0 if any(remaining.values()) else idle_polls + 1


def _end_requests(
    process: state.State,
    response_tracker: responses.ResponseTracker,
    ends_at: float,
) -> None:
    """Give each request without a response one, and let callers read them.

    A request that is read in part gets one, too.

    :param ends_at: the monotonic second after which responses that have not
        been written in full are cut off.
    """
    rounds = 0
    while rounds < MIN_FINAL_ROUNDS or (
        response_tracker.is_busy and process.clock.monotonic() < ends_at
    ):
        response_tracker.end_waiting()
        gevent.sleep(FINAL_POLL_SECONDS)
        rounds += 1


def _remaining(
    process: state.State, response_tracker: responses.ResponseTracker
) -> dict[str, int]:
    keys = process.components_by_name.get('keys')
    return {
        'requests': len(process.active_requests_by_id),
        'responses': response_tracker.in_progress,
        'keys': keys.pending if keys is not None else 0,
    }
