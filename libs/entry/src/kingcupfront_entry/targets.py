"""Targets of the router, from the instance list and load reports."""

import logging

import gevent

from kingcupfront_config import instance_list
from kingcupfront_entry import leaving
from kingcupfront_entry import listing
from kingcupfront_entry import state
from kingcupfront_route import target
from kingcupfront_stream import engine
from kingcupfront_stream import errors

LOG = logging.getLogger(__name__)
ENTRY_SERVICE = listing.ENTRY_SERVICE
REPORT_INTERVAL_SECONDS = 0.5


def subscribe(
    process: state.State, rows: listing.Listing, signs: leaving.Leaving
) -> None:
    """Keep the router's targets as the list, signs and objects have them.

    :param process: the process.
    :param rows: the instance list.
    :param signs: the signs that targets leave.
    """

    def listed() -> None:
        process.instances = rows.instances
        for row in rows.instances:
            if row.service != ENTRY_SERVICE:
                signs.observe(row.id, leaving.LIST, rows.index, row.leaving)
        signs.keep({row.id for row in rows.instances})
        refresh(process)

    rows.listeners.append(listed)
    signs.listeners.append(lambda: refresh(process))
    process.in_force.listeners.append(lambda current: refresh(process))


def refresh(process: state.State) -> None:
    """Give the router the targets that the instance list names."""
    signs = process.parts_by_name.get('leaving', ())
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
                or _configured(process, row),
            )
            for row in process.instances
            if row.service != ENTRY_SERVICE
        ]
    )


def _configured(process: state.State, row: instance_list.Instance) -> bool:
    if process.in_force.current is None:
        return False
    service = process.in_force.current.by_name('service').get(row.service)
    place = process.in_force.current.by_name('place').get(row.place)
    return bool(
        (service is not None and row.id in service.leaving_targets)
        or (place is not None and place.leaving)
    )


def follow_reports(process: state.State, client: engine.EngineClient) -> None:
    """Ask the model engines for their load, for ever."""
    while True:
        gevent.sleep(REPORT_INTERVAL_SECONDS)
        for item in model_engines(process):
            gevent.spawn(_report, process, client, item)


def model_engines(process: state.State) -> list[target.Target]:
    """Return the known targets that are model engines.

    :param process: the process.
    """
    if process.in_force.current is None:
        return []
    services = process.in_force.current.by_name('service')
    return [
        item
        for item in process.router.targets_by_id.values()
        if item.service in services and services[item.service].type == 'model'
    ]


def _report(
    process: state.State, client: engine.EngineClient, item: target.Target
) -> None:
    try:
        values = client.load(item.address)
        report = target.LoadReport(
            taken_at=process.clock.monotonic(), **values
        )
    except (errors.EngineError, TypeError) as error:
        LOG.debug(
            'report_missing', extra={'target': item.id, 'reason': str(error)}
        )
        return
    process.router.observe_report(item.id, report)
    signs = process.parts_by_name.get('leaving')
    if signs is not None:
        signs.observe(item.id, leaving.REPORT, report.number, report.leaving)
