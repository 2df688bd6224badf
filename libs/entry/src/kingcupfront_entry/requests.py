"""Tracks each caller's request from its arrival to its outcome."""

from collections.abc import Iterator
import contextlib
import logging
import secrets

from kingcupfront_core import outcomes
from kingcupfront_entry import state

LOG = logging.getLogger(__name__)
ID_BYTES = 12


class RequestSummary:
    """The outcome of a request and the target that served it last.

    The code that serves the request sets both; they are logged when it ends.
    """

    def __init__(self) -> None:
        self.outcome = outcomes.Outcome.UNKNOWN
        self.target = ''


@contextlib.contextmanager
def in_progress(
    process: state.State, team: str, service: str
) -> Iterator[tuple[state.ActiveRequest, RequestSummary]]:
    """List a request as in progress while the block runs; log its outcome.

    :param process: the state of the process.
    :param team: the name of the team that sent the request.
    :param service: the name of the requested service; empty if not known.
    :returns: the entry in the table of requests, and the summary to fill in.
    """
    now = process.clock.monotonic()
    activity = state.ActiveRequest(
        secrets.token_hex(ID_BYTES), team, service, now
    )
    summary = RequestSummary()
    process.active_requests_by_id[activity.id] = activity
    try:
        yield activity, summary
    finally:
        del process.active_requests_by_id[activity.id]
        process.metrics.counter(
            'kingcupfront_requests', 'Requests by outcome.', ('outcome',)
        ).inc((str(summary.outcome),))
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
