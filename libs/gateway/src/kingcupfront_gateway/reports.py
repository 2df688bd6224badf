"""Load reports of engines, fetched when a decision needs them.

Load pattern: many instances and many engines. Polling every engine from every
instance grows with instances times engines, so only the engines that a
decision considers are asked.
"""

from collections.abc import Iterable
import logging

import gevent

from kingcupfront_decisions import software_versions
from kingcupfront_gateway import candidates
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import json_calls
from kingcupfront_gateway import targets

LOG = logging.getLogger(__name__)

# The longest time that a decision waits for reports; the slowest link of the
# platform has a round trip of 24 ms.
REFRESH_TIMEOUT_SECONDS = 0.15
# Without changes a view of the directory is not older, also one fetched from a
# peer.
MAX_IDLE_VIEW_AGE_SECONDS = 2.7
# Engines give at least two seconds' notice before they leave.
POLL_INTERVAL_SECONDS = 0.5
# The engines elsewhere that are asked for their load if there is none near.
MAX_DISTANT = 4


def refresh(
    process: gateway.Gateway,
    states: Iterable[targets.TargetState],
    max_age: float,
) -> None:
    """Fetch new reports, in parallel, where the last one is too old.

    :param max_age: the age in seconds from which a report is too old.
    """
    now = process.clock.monotonic()
    tasks = []
    for state in states:
        if state.load is None or state.load.report_age(now) <= max_age:
            continue
        if state.silent_until > now:
            continue
        if state.load.refresh_task is None:
            state.load.refresh_task = gevent.spawn(
                _fetch_report, process, state
            )
        tasks.append(state.load.refresh_task)
    gevent.joinall(tasks, timeout=REFRESH_TIMEOUT_SECONDS)


def nearby_engines(
    process: gateway.Gateway,
    admitted: gateway.Admission,
    source: targets.TargetState,
    max_age: float,
    *,
    in_region: bool = False,
) -> list[targets.TargetState]:
    """Return the other engines of a data centre, with recent reports.

    They have the software version of the source, as they are to carry on what
    it writes. If none of that version is near, some elsewhere are returned.

    :param admitted: the admission of the request that may go there.
    :param source: the engine whose data centre it is; it is left out.
    :param max_age: the highest age of a report, in seconds.
    :param in_region: whether all data centres of its region count.
    """
    service, now = source.target.service, process.clock.monotonic()
    engines = [
        state
        for state in candidates.for_request(
            process,
            admitted,
            service,
            now,
            software_versions.Begun(source.software_version),
        )
        if state.is_engine and state.target.id != source.target.id
    ]
    placement = process.placement
    near = placement.engines_in_region if in_region else placement.engines_near
    nearby = near(engines, source.target)
    if not nearby and process.targets.versions.is_mixed(service, now):
        # None of its version is near while a release replaces targets.
        nearby = process.rng.sample(engines, min(MAX_DISTANT, len(engines)))
    refresh(process, nearby, max_age)
    return nearby


def confirm_start(
    process: gateway.Gateway, state: targets.TargetState
) -> None:
    """Ask an engine whether it is still the start that is listed.

    Its software version is unknown afterwards if it is another one. A report
    that names no start says nothing.

    :raises UnknownStartError: if it sends no report in time.
    :raises UnreachableError: if nothing may be sent to it now.
    """
    try:
        _read_report(process, state)
    except errors.UnreachableError:
        raise
    except errors.TargetError as error:
        state.record_result(False, process.clock.monotonic())
        raise errors.UnknownStartError(
            f'{state.target.id} does not tell its start: {error}'
        ) from error


def poll_engines_in_use(process: gateway.Gateway) -> None:
    """Poll the engines of own generations while the directory is away.

    Their reports then tell which of them are leaving.
    """
    while True:
        gevent.sleep(POLL_INTERVAL_SECONDS)
        age = process.freshness.age(process.clock.monotonic())
        if (
            process.reachable_since is not None
            and age < MAX_IDLE_VIEW_AGE_SECONDS
        ):
            continue
        in_use = [
            state
            for state in process.targets.by_id.values()
            if state.load is not None and state.load.generations_by_id
        ]
        refresh(process, in_use, POLL_INTERVAL_SECONDS)


def _fetch_report(
    process: gateway.Gateway, state: targets.TargetState
) -> None:
    try:
        _read_report(process, state)
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
    finally:
        if state.load is not None:
            state.load.refresh_task = None


def _read_report(process: gateway.Gateway, state: targets.TargetState) -> None:
    """Fetch a report and apply it.

    :raises TargetError: if none comes.
    """
    requested_at = process.clock.monotonic()
    connection = json_calls.PooledJsonConnection(process, state.target)
    report = process.platform.read_report(connection)
    if state.load is None:
        return
    if report.born not in (None, state.target.born):
        _record_replacement(state, report.born)
    state.load.record_report(report, requested_at)
    if report.is_leaving and not state.reported_leaving:
        state.reported_leaving = True
        LOG.info(
            'target_leaving',
            extra={'target': state.target.id, 'told_by': 'report'},
        )
    process.targets.notify()


def _record_replacement(state: targets.TargetState, born: int) -> None:
    """Record that another start of a target reports under its id.

    Its entry will name the software version of that start.
    """
    if state.is_replaced:
        return
    state.is_replaced = True
    LOG.info(
        'target_replaced',
        extra={
            'target': state.target.id,
            'listed_born': state.target.born,
            'reported_born': born,
        },
    )
