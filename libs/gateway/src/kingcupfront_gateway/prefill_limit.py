"""Limits how many prompts an engine reads at once.

Load pattern: an engine that has just started looks empty to all instances
for half a second, so everything that waits goes there. Prompts are read one
after the other, and the last of them waits seconds for its first event.

While a prompt is read, some of the engine's memory is reserved beside its
own. The engine itself refuses whoever comes when that is taken, so all
instances keep the limit without talking to each other.
"""

import gevent

from kingcupfront_gateway import gateway
from kingcupfront_gateway import leases
from kingcupfront_gateway import targets

# Of the memory that is free: two prompts of the platform's mean size fit
# beside this on an empty engine, one on an engine that is half full.
PREFILL_MEMORY_FRACTION = 0.35
# With less room than for this many of its kind, a prompt is alone anyway.
MIN_CONCURRENT_PROMPTS = 2
# Two prompts are read in less; a turn that is lost with its instance lapses.
PREFILL_LEASE_SECONDS = 1.5


class PrefillLease:
    """The turn of one prompt at an engine.

    :param lease: the name of the memory that is reserved for it.
    """

    def __init__(
        self, process: gateway.Gateway, state: targets.TargetState, lease: str
    ) -> None:
        self._process = process
        self._state = state
        self._lease: str | None = lease

    def release(self) -> None:
        """Free the memory, without waiting for the engine."""
        lease, self._lease = self._lease, None
        if lease is not None and not self._state.is_removed:
            gevent.spawn(leases.release, self._process, self._state, lease)


def needs_lease(state: targets.TargetState, tokens: int) -> bool:
    """Return whether an engine has room for many prompts at once.

    :param tokens: the memory that the generation will need.
    """
    needed_tokens = MIN_CONCURRENT_PROMPTS * tokens
    return (
        bool(state.load.capacity.lease_seconds)
        and _free_tokens(state) >= needed_tokens
    )


def acquire(
    process: gateway.Gateway, state: targets.TargetState
) -> PrefillLease | None:
    """Take the turn of a prompt; None if the engine reads enough of them.

    :raises TargetError: if the engine does not answer.
    """
    tokens = int(PREFILL_MEMORY_FRACTION * _free_tokens(state))
    lease = leases.acquire(process, state, tokens, PREFILL_LEASE_SECONDS)
    return PrefillLease(process, state, lease) if lease is not None else None


def _free_tokens(state: targets.TargetState) -> int:
    return state.load.capacity.memory_tokens - state.load.memory_needed()
