"""Leases of a slot and KV cache on engines."""

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
    """Acquire a lease from an engine.

    :param tokens: the KV cache to reserve, capped at the engine's capacity.
    :param seconds: how long an unused lease lasts, capped at the engine's
        limit.
    :returns: the name of the lease, or None if the engine is full.
    :raises TargetError: if the engine does not answer.
    """
    capacity = state.load.capacity
    return process.platform.reserve(
        json_calls.PooledJsonConnection(process, state.target),
        min(tokens, capacity.memory_tokens),
        min(seconds, capacity.lease_seconds),
    )


def release(
    process: gateway.Gateway, state: targets.TargetState, lease: str
) -> None:
    """Release an unused lease; if that fails, the lease expires."""
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
