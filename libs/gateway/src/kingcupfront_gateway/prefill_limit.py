"""Limits the number of concurrent prefills on an engine.

Load pattern: an engine that has just started looks empty to all instances
for half a second, so all waiting requests go there. Prefills run one after
the other, and the last request waits seconds for its first event.

During a prefill, a second lease reserves some of the engine's KV cache in
addition to that of the request itself. The engine refuses further leases when
it has no more to reserve, so all instances keep the limit without
communicating.
"""

import gevent

from kingcupfront_decisions import reserve
from kingcupfront_gateway import gateway
from kingcupfront_gateway import leases
from kingcupfront_gateway import targets

# A fraction of the free KV cache. Two prompts of the platform's mean size fit
# beside it on an empty engine, one on an engine that is half full.
PREFILL_MEMORY_FRACTION = 0.35
# With room for fewer prompts of this size, prefills cannot be concurrent.
MIN_CONCURRENT_PROMPTS = 2
# Longer than two prefills; the lease of an instance that crashes expires.
PREFILL_LEASE_SECONDS = 1.5


class PrefillLease:
    """The lease that admits one prefill on an engine.

    :param process: the shared state of the process.
    :param state: the engine.
    :param lease: the name of the lease.
    """

    def __init__(
        self, process: gateway.Gateway, state: targets.TargetState, lease: str
    ) -> None:
        self._process = process
        self._state = state
        self._lease: str | None = lease

    def release(self) -> None:
        """Release the lease, without waiting for the engine."""
        lease, self._lease = self._lease, None
        if lease is not None and not self._state.is_removed:
            gevent.spawn(leases.release, self._process, self._state, lease)


def needs_lease(
    state: targets.TargetState,
    tokens: int,
    left: reserve.Room = reserve.NONE,
) -> bool:
    """Return whether a prefill needs a lease of its own.

    It does if the engine grants leases and has room for several prefills.

    :param tokens: the KV cache that the generation will need.
    :param left: the room that the generation leaves to more urgent ones.
    """
    needed_tokens = MIN_CONCURRENT_PROMPTS * tokens
    return (
        bool(state.load.capacity.lease_seconds)
        and _free_tokens(state, left) >= needed_tokens
    )


def acquire(
    process: gateway.Gateway,
    state: targets.TargetState,
    left: reserve.Room = reserve.NONE,
) -> PrefillLease | None:
    """Acquire the lease of a prefill.

    :param left: the room that the generation leaves to more urgent ones.
    :returns: the lease, or None if enough prefills run on the engine.
    :raises TargetError: if the engine does not answer.
    """
    tokens = int(PREFILL_MEMORY_FRACTION * _free_tokens(state, left))
    lease = leases.acquire(process, state, tokens, PREFILL_LEASE_SECONDS)
    return PrefillLease(process, state, lease) if lease is not None else None


def _free_tokens(state: targets.TargetState, left: reserve.Room) -> float:
    memory_tokens = state.load.capacity.memory_tokens
    return memory_tokens * (1 - left.memory_part) - state.load.memory_needed()
