"""Keeps the router's targets and their load reports up to date."""

import logging

import gevent

from kingcupfront_config import instance_list
from kingcupfront_entry import instance_list_sync
from kingcupfront_entry import leaving
from kingcupfront_entry import state
from kingcupfront_route import target
from kingcupfront_stream import engine
from kingcupfront_stream import errors

LOG = logging.getLogger(__name__)
ENTRY_SERVICE = instance_list_sync.ENTRY_SERVICE
REPORT_INTERVAL_SECONDS = 0.5


def subscribe(
    process: state.State,
    rows: instance_list_sync.InstanceListSync,
    signs: leaving.LeavingTargets,
) -> None:
    """Update the router's targets whenever what they depend on changes.

    :param process: the state of the process.
    :param rows: the instance list.
    :param signs: the signs that targets are leaving.
    """

    def on_list_change() -> None:
        process.instances = rows.instances
        for row in rows.instances:
            if row.service != ENTRY_SERVICE:
                signs.observe(row.id, leaving.LIST, rows.index, row.leaving)
        signs.forget_unlisted({row.id for row in rows.instances})
        refresh_targets(process)

    rows.listeners.append(on_list_change)
    signs.listeners.append(lambda: refresh_targets(process))
    process.in_force.listeners.append(lambda current: refresh_targets(process))


def refresh_targets(process: state.State) -> None:
    """Set the router's targets from the instance list.

    A target is leaving if the list, a sign or the configuration says so.

    :param process: the state of the process.
    """
    signs = process.components_by_name.get('leaving', ())
    process.router.set_targets(
        [
            target.Target(
                id=row.id,
                address=row.address,
                service=row.service,
                place=row.place,
                slots=row.slots,
                leaving=row.leaving
                or row.id in signs
                or _is_leaving_by_configuration(process, row),
            )
            for row in process.instances
            if row.service != ENTRY_SERVICE
        ]
    )


def _is_leaving_by_configuration(
    process: state.State, row: instance_list.Instance
) -> bool:
    if process.in_force.current is None:
        return False
    service = process.in_force.current.by_name('service').get(row.service)
    place = process.in_force.current.by_name('place').get(row.place)
    return bool(
        (service is not None and row.id in service.leaving_targets)
        or (place is not None and place.leaving)
    )


def follow_load_reports(
    process: state.State, client: engine.EngineClient
) -> None:
    """Fetch the load reports of all model engines periodically, for ever.

    :param process: the state of the process.
    :param client: the client for engines.
    """
    while True:
        gevent.sleep(REPORT_INTERVAL_SECONDS)
        for engine_target in model_engines(process):
            gevent.spawn(_fetch_load_report, process, client, engine_target)


def model_engines(process: state.State) -> list[target.Target]:
    """Return the router's targets that are model engines.

    :param process: the state of the process.
    """
    if process.in_force.current is None:
        return []
    services = process.in_force.current.by_name('service')
    return [
        engine_target
        for engine_target in process.router.targets_by_id.values()
        if engine_target.service in services
        and services[engine_target.service].type == 'model'
    ]


def _fetch_load_report(
    process: state.State,
    client: engine.EngineClient,
    engine_target: target.Target,
) -> None:
    try:
        values = client.load(engine_target.address)
        report = target.LoadReport(
            taken_at=process.clock.monotonic(), **values
        )
    except (errors.EngineError, TypeError) as error:
        LOG.debug(
            'report_missing',
            extra={'target': engine_target.id, 'reason': str(error)},
        )
        return
    process.router.observe_report(engine_target.id, report)
    signs = process.components_by_name.get('leaving')
    if signs is not None:
        signs.observe(
            engine_target.id, leaving.REPORT, report.number, report.leaving
        )
