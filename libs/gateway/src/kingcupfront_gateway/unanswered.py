"""Counts the requests that end without a whole response, by cause."""

import enum
import logging

from kingcupfront_gateway import caller
from kingcupfront_gateway import gateway
from kingcupfront_gateway import request_record

LOG = logging.getLogger(__name__)


class Stage(enum.StrEnum):
    """How far a request had come when its connection ended."""

    # It had been read in part.
    READING = 'reading'
    # It had been read; the caller has no byte of a response.
    WAITING = 'waiting'
    # The caller has a part of the response.
    RESPONDING = 'responding'


class UnansweredRequests:
    """Counts and logs requests without a whole response.

    :param process: the shared state of the process.
    """

    def __init__(self, process: gateway.Gateway) -> None:
        self._process = process
        self._counter = process.metrics.counter(
            'gateway_unanswered_requests',
            'Requests that ended without a whole response.',
            ('stage', 'cause'),
        )

    def record(
        self,
        connection: caller.CallerConnection,
        record: request_record.RequestRecord | None,
        cause: str,
    ) -> None:
        """Count a request whose connection ends without a whole response.

        :param record: its times; None if it was not read as a whole or was
            refused.
        :param cause: the reason in one word.
        """
        stage = _stage(connection)
        self._counter.inc((str(stage), cause))
        now = self._process.clock.monotonic()
        applied_at = self._process.configuration_applied_at
        LOG.info(
            'request_unanswered',
            extra={
                'request': record.request_id if record else '',
                'stage': str(stage),
                'cause': cause,
                'seconds_left': round(record.seconds_left(now), 3)
                if record
                else None,
                'configuration_age': round(now - applied_at, 3)
                if applied_at is not None
                else None,
            },
        )


def _stage(connection: caller.CallerConnection) -> Stage:
    if connection.phase is caller.Phase.READING:
        return Stage.READING
    if connection.response_started:
        return Stage.RESPONDING
    return Stage.WAITING
