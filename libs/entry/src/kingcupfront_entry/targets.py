"""Targets of the router, from the instance list and load reports."""

import logging

import gevent

from kingcupfront_entry import state
from kingcupfront_route import target
from kingcupfront_stream import engine
from kingcupfront_stream import errors

LOG = logging.getLogger(__name__)
ENTRY_SERVICE = 'kingcupfront'
REPORT_INTERVAL_SECONDS = 0.5


def refresh(process: state.State) -> None:
    """Give the router the targets that the instance list names."""
    process.router.set_targets(
        [
            target.Target(
                id=row.id,
                address=row.address,
                service=row.service,
                place=row.place,
                slots=row.slots,
                leaving=row.leaving,
            )
            for row in process.instances
            if row.service != ENTRY_SERVICE
        ]
    )


def follow_reports(process: state.State, client: engine.EngineClient) -> None:
    """Ask the model engines for their load, for ever."""
    while True:
        gevent.sleep(REPORT_INTERVAL_SECONDS)
        if process.in_force.current is None:
            continue
        services = process.in_force.current.by_name('service')
        for item in list(process.router.targets_by_id.values()):
            service = services.get(item.service)
            if service is not None and service.type == 'model':
                gevent.spawn(_report, process, client, item)


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
    process.router.report(item.id, report)
