"""Ends the requests of a process that was told to stop, then lets it exit.

The stages are logged as warnings, which the rate limit of the log exempts:
a stop under load is when they are needed.
"""

import functools
import logging

import gevent

from kingcupfront_core import errors as core_errors
from kingcupfront_gateway import caller
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import stopping
from kingcupfront_gateway import tasks

LOG = logging.getLogger(__name__)

# The balancer removes an instance after two failed health checks, one second
# apart, and sends new connections until then.
BALANCER_NOTICE_SECONDS = 3.5
POLL_SECONDS = 0.1
CLOSE_POLL_SECONDS = 0.02
CLOSE_ROUNDS = 3
# The phases of a connection with a request that has no complete response.
UNFINISHED = (caller.Phase.READING, caller.Phase.SERVING)
# The most requests for which a line is logged when the process cuts them off.
MAX_LOGGED_CUTS = 100


def drain(process: gateway.Gateway, stopped_at: float | None = None) -> None:
    """Wait for active requests to end within the platform's grace period.

    :param stopped_at: monotonic time at which the signal to stop arrived; by
        default now.
    """
    now = process.clock.monotonic
    acted_at = now()
    if stopped_at is None:
        stopped_at = acted_at
    shutdown = stopping.Shutdown(stopped_at, _grace(process))
    shutdown.record_delay(acted_at - stopped_at)
    process.shutdown = shutdown
    active = process.active_requests
    LOG.warning(
        'gateway_stopping',
        extra={
            'active': len(active),
            'grace': shutdown.grace,
            'signal_delay': round(acted_at - stopped_at, 3),
        },
    )
    _serve_rest(process, shutdown, acted_at)
    process.is_closing = True
    LOG.warning(
        'gateway_closing',
        extra={
            'active': len(active),
            'longest_delay': round(shutdown.longest_delay, 3),
        },
    )
    _close(process, shutdown)
    _log_cuts(process, stopped_at)
    LOG.warning(
        'gateway_stopped',
        extra={
            'active': len(active),
            'seconds': round(now() - stopped_at, 3),
        },
    )


def _grace(process: gateway.Gateway) -> float:
    """Return the seconds until SIGKILL, at the moment of the signal.

    A later reload does not change when SIGKILL comes; the file may have
    changed just before the signal, without being reloaded yet.
    """
    grace = process.settings.drain_grace
    try:
        return min(grace, process.platform.settings().drain_grace)
    except core_errors.BadInputError as error:
        LOG.warning('settings_refused', extra={'detail': str(error)})
        return grace


def _serve_rest(
    process: gateway.Gateway, shutdown: stopping.Shutdown, acted_at: float
) -> None:
    """Serve until there is nothing left to serve or the grace ends.

    :param acted_at: when readiness ended; the balancer notices later.
    """
    now = process.clock.monotonic
    while now() < shutdown.final_response_at:
        balancer_has_noticed = now() - acted_at > BALANCER_NOTICE_SECONDS
        if balancer_has_noticed and not process.has_connections(*UNFINISHED):
            return
        before = now()
        gevent.sleep(POLL_SECONDS)
        shutdown.record_delay(now() - before - POLL_SECONDS)


def _close(process: gateway.Gateway, shutdown: stopping.Shutdown) -> None:
    """Give each request a final response, then close all connections."""
    now = process.clock.monotonic
    if now() >= shutdown.final_response_at:
        _end_without_response(process)
    # Callers that close slowly do not hold up the exit.
    until = min(shutdown.exit_at, now() + caller.LINGER_SECONDS)
    while process.has_connections(*UNFINISHED, caller.Phase.CLOSING):
        gevent.sleep(CLOSE_POLL_SECONDS)
        is_late = now() >= shutdown.exit_at and not _awaits_response(process)
        has_unfinished = process.has_connections(*UNFINISHED)
        if is_late or (now() >= until and not has_unfinished):
            break
    # Connections that wait to be accepted are accepted.
    gevent.sleep(CLOSE_POLL_SECONDS)
    process.stop_listening()
    # What had arrived before is read and refused meanwhile.
    for _ in range(CLOSE_ROUNDS):
        for connection in list(process.tasks_by_connection):
            connection.close_if_idle()
        _end_without_response(process)
        gevent.sleep(CLOSE_POLL_SECONDS)
        if not process.tasks_by_connection:
            return


def _end_without_response(process: gateway.Gateway) -> None:
    """End all requests that have no response, also those partly read."""
    for request in list(process.active_requests):
        request.end_without_response(errors.StoppingError())
    for connection, task in list(process.tasks_by_connection.items()):
        is_reading = functools.partial(_is_reading, connection)
        tasks.interrupt_if(task, is_reading, errors.StoppingError())


def _is_reading(connection: caller.CallerConnection) -> bool:
    """Return whether a request is read in part and not being refused."""
    return (
        connection.phase is caller.Phase.READING
        and not connection.response_started
    )


def _awaits_response(process: gateway.Gateway) -> bool:
    return any(
        request.connection.awaits_response
        for request in process.active_requests
    )


def _log_cuts(process: gateway.Gateway, stopped_at: float) -> None:
    """Log the requests that the exit cuts off."""
    now = process.clock.monotonic()
    for request in list(process.active_requests)[:MAX_LOGGED_CUTS]:
        record = request.record
        LOG.warning(
            'request_cut',
            extra={
                'request': record.request_id,
                'route': record.route,
                'targets': ','.join(record.target_ids),
                'arrived_after_stop': round(record.arrived_at - stopped_at, 3),
                'seconds': round(now - record.arrived_at, 3),
                'seconds_left': round(record.deadline - now, 3),
                'response_started': request.connection.response_started,
                'events': record.events,
                'moves': record.resumptions,
            },
        )
