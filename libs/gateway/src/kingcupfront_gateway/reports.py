"""Asks engines for their load, when a decision needs it.

Load pattern: many instances and many engines. Asking all engines all the
time grows with instances times engines, so only those that a decision looks
at are asked.
"""

from collections.abc import Iterable
import logging

import gevent

from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import json_calls
from kingcupfront_gateway import objects
from kingcupfront_gateway import targets

LOG = logging.getLogger(__name__)

# A decision does not wait longer for a report; the slowest link of the
# platform takes 24 ms there and back.
REFRESH_SECONDS = 0.15
# A quiet view of the directory is not older, also one that a peer told.
QUIET_VIEW_SECONDS = 2.7
# The shortest notice of an engine that leaves is two seconds.
POLL_SECONDS = 0.5


def refresh(
    process: gateway.Gateway,
    states: Iterable[targets.TargetState],
    max_age: float,
) -> None:
    """Ask those engines whose last report is too old, all at once.

    :param max_age: seconds.
    """
    now = process.clock.monotonic()
    tasks = []
    for state in states:
        if state.load is None or state.load.report_age(now) <= max_age:
            continue
        if state.load.refresh_task is None:
            state.load.refresh_task = gevent.spawn(_read, process, state)
        tasks.append(state.load.refresh_task)
    gevent.joinall(tasks, timeout=REFRESH_SECONDS)


def nearby_engines(
    process: gateway.Gateway, source: objects.Target, max_age: float
) -> list[targets.TargetState]:
    """Return the other engines of a data centre, with recent reports.

    :param source: the engine beside which the others are.
    :param max_age: seconds.
    """
    engines = process.targets.available_engines(
        source.service, process.clock.monotonic()
    )
    found = process.placement.engines_near(engines, source)
    refresh(process, found, max_age)
    return found


def poll_engines_in_use(process: gateway.Gateway) -> None:
    """Ask the engines of own generations while the directory is away."""
    while True:
        gevent.sleep(POLL_SECONDS)
        age = process.freshness.age(process.clock.monotonic())
        if process.reachable_since is not None and age < QUIET_VIEW_SECONDS:
            continue
        own = [
            state
            for state in process.targets.by_id.values()
            if state.load is not None and state.load.generations_by_id
        ]
        refresh(process, own, POLL_SECONDS)


def _read(process: gateway.Gateway, state: targets.TargetState) -> None:
    asked_at = process.clock.monotonic()
    try:
        calls = json_calls.PooledJsonConnection(process, state.target)
        report = process.platform.read_report(calls)
    except errors.GatewayError as error:
        state.record_result(False, process.clock.monotonic())
        LOG.info(
            'report_failed',
            extra={
                'target': state.target.id,
                'cause': error.code,
                'detail': str(error),
            },
        )
        return
    finally:
        if state.load is not None:
            state.load.refresh_task = None
    if state.load is None:
        return
    state.load.record_report(report, asked_at)
    if report.is_leaving and not state.reported_leaving:
        state.reported_leaving = True
        LOG.info(
            'target_leaving',
            extra={'target': state.target.id, 'told_by': 'report'},
        )
    process.targets.notify()
