"""Asks engines for their load."""

import logging

import gevent

from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import json_calls
from kingcupfront_gateway import targets

LOG = logging.getLogger(__name__)

INTERVAL_SECONDS = 2.0


class Reports:
    """One task for each engine reads its reports in turn.

    :param process: the parts of the process.
    """

    def __init__(self, process: gateway.Gateway) -> None:
        self._process = process
        self._tasks_by_id: dict[str, gevent.Greenlet] = {}

    def follow(self) -> None:
        """Start and end the tasks as engines come and go."""
        try:
            self._follow()
        finally:
            gevent.killall(list(self._tasks_by_id.values()), block=False)

    def _follow(self) -> None:
        while True:
            by_id = self._process.targets.by_id
            for target_id, state in list(by_id.items()):
                task = self._tasks_by_id.get(target_id)
                if state.load is not None and (task is None or task.dead):
                    self._tasks_by_id[target_id] = gevent.spawn(
                        self._read, state
                    )
            for target_id in set(self._tasks_by_id) - set(by_id):
                self._tasks_by_id.pop(target_id).kill(block=False)
            self._process.targets.changed.wait(INTERVAL_SECONDS)

    def _read(self, state: targets.TargetState) -> None:
        calls = json_calls.JsonConnection(state.target.address)
        clock = self._process.clock
        gevent.sleep(self._process.rng.uniform(0, INTERVAL_SECONDS))
        while not state.is_gone and state.load is not None:
            asked_at = clock.monotonic()
            try:
                report = self._process.platform.read_report(calls)
            except errors.GatewayError as error:
                LOG.info(
                    'report_failed',
                    extra={
                        'target': state.target.id,
                        'cause': error.code,
                        'detail': str(error),
                    },
                )
            else:
                state.load.take_report(report, asked_at)
                if report.is_leaving and not state.said_leaving:
                    state.said_leaving = True
                    LOG.info(
                        'target_leaving',
                        extra={'target': state.target.id, 'told_by': 'report'},
                    )
                self._process.targets.notify()
            gevent.sleep(INTERVAL_SECONDS)
        calls.close()
