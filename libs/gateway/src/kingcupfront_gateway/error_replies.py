"""Decides which error replies of targets reach callers unchanged.

Fault pattern: a target executes a request and fails with a status by which
callers learn that it was not executed. They would send it once more, also if
it may be executed only once.
"""

from kingcupfront_gateway import errors
from kingcupfront_gateway import exchange
from kingcupfront_gateway import objects


def raise_if_unproven_refusal(
    reply: exchange.Reply, route: objects.Route
) -> None:
    """Raise if callers would take a reply for a refusal that it is not.

    Requests that may be executed again get the reply of the target.

    :param reply: the reply that is to be forwarded.
    :param route: the route of the request.
    :raises UnprovenRefusalError: with the status and the target.
    """
    if (
        reply.metadata.is_unproven_refusal
        and route.retry_mode is objects.RetryMode.AT_MOST_ONCE
    ):
        raise errors.UnprovenRefusalError(
            f'status {reply.status} of {reply.target_id} does not state that '
            'nothing was executed'
        )
