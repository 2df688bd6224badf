"""The life of one caller's request, from arrival to outcome."""

from collections.abc import Iterator
import contextlib
import logging
import secrets

from kingcupfront_core import outcomes
from kingcupfront_entry import state

LOG = logging.getLogger(__name__)
ID_BYTES = 12


class RequestSummary:
    """Where the code that serves a request notes how it ended."""

    def __init__(self) -> None:
        self.outcome = outcomes.Outcome.UNKNOWN
        self.target = ''


@contextlib.contextmanager
def in_progress(
    process: state.State, team: str, service: str
) -> Iterator[tuple[state.Activity, RequestSummary]]:
    """Hold a request in the table of those in progress; log its end.

    :param process: the process.
    :param team: the team that asks.
    :param service: the service that it asks for.
    """
    now = process.clock.monotonic()
    activity = state.Activity(secrets.token_hex(ID_BYTES), team, service, now)
    summary = RequestSummary()
    process.activities_by_id[activity.id] = activity
    try:
        yield activity, summary
    finally:
        del process.activities_by_id[activity.id]
        process.metrics.counter(
            'kingcupfront_requests', 'Requests by outcome.', ('outcome',)
        ).labels(str(summary.outcome)).inc()
        LOG.info(
            'request_ended',
            extra={
                'request': activity.id,
                'team': team,
                'service': service,
                'target': summary.target,
                'outcome': str(summary.outcome),
                'revision': process.in_force.revision,
                'seconds': round(process.clock.monotonic() - now, 4),
            },
        )
