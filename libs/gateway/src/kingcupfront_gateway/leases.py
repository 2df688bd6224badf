"""Leases of a place and memory at engines."""

import logging

from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import json_calls
from kingcupfront_gateway import targets

LOG = logging.getLogger(__name__)


def acquire(
    process: gateway.Gateway,
    state: targets.TargetState,
    tokens: int,
    seconds: float,
) -> str | None:
    """Ask an engine for a lease.

    :param tokens: the memory; at most all that the engine has.
    :param seconds: how long an unused lease lasts; at most what it offers.
    :returns: the name of the lease, or None if there is no room.
    :raises TargetError: if the engine does not answer.
    """
    engine = state.load.capacity
    return process.platform.reserve(
        json_calls.PooledJsonConnection(process, state.target),
        min(tokens, engine.memory_tokens),
        min(seconds, engine.lease_seconds),
    )


def release(
    process: gateway.Gateway, state: targets.TargetState, lease: str
) -> None:
    """Free a lease that was not used; one that cannot be freed lapses."""
    try:
        process.platform.release(
            json_calls.PooledJsonConnection(process, state.target), lease
        )
    except errors.TargetError as error:
        LOG.debug(
            'release_failed',
            extra={
                'target': state.target.id,
                'cause': error.code,
                'detail': str(error),
            },
        )
