"""Limits how many prompts an engine reads at once.

Load pattern: an engine that has just started looks empty to all instances
for half a second, so everything that waits goes there. Prompts are read one
after the other, and the last of them waits seconds for its first event.

While a prompt is read, some of the engine's memory is reserved beside its
own. The engine itself refuses whoever comes when that is taken, so all
instances keep the limit without talking to each other.
"""

import logging

import gevent

from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import json_calls
from kingcupfront_gateway import targets

LOG = logging.getLogger(__name__)

# Of the memory that is free: two prompts of the platform's mean size fit
# beside this on an empty engine, one on an engine that is half full.
TURN_MEMORY_PART = 0.35
# With less room than for this many of its kind, a prompt is alone anyway.
FEWEST_PROMPTS = 2
# Two prompts are read in less; a turn that is lost with its instance lapses.
TURN_SECONDS = 1.5


class Turn:
    """The turn of one prompt at an engine.

    :param lease: the name of the memory that is reserved for it.
    """

    def __init__(
        self, process: gateway.Gateway, state: targets.TargetState, lease: str
    ) -> None:
        self._process = process
        self._state = state
        self._lease: str | None = lease

    def end(self) -> None:
        """Free the memory, without waiting for the engine."""
        lease, self._lease = self._lease, None
        if lease is not None and not self._state.is_gone:
            gevent.spawn(self._release, lease)

    def _release(self, lease: str) -> None:
        try:
            self._process.platform.release(
                json_calls.PooledCalls(self._process, self._state.target),
                lease,
            )
        except errors.TargetError as error:
            LOG.debug(
                'release_failed',
                extra={
                    'target': self._state.target.id,
                    'cause': error.code,
                    'detail': str(error),
                },
            )


def needs_turn(state: targets.TargetState, tokens: int) -> bool:
    """Return whether an engine has room for many prompts at once.

    :param tokens: the memory that the generation will need.
    """
    room = FEWEST_PROMPTS * tokens
    return bool(state.load.engine.lease_seconds) and _free(state) >= room


def take_turn(
    process: gateway.Gateway, state: targets.TargetState
) -> Turn | None:
    """Take the turn of a prompt; None if the engine reads enough of them.

    :raises TargetError: if the engine does not answer.
    """
    lease = process.platform.reserve(
        json_calls.PooledCalls(process, state.target),
        int(TURN_MEMORY_PART * _free(state)),
        min(TURN_SECONDS, state.load.engine.lease_seconds),
    )
    return Turn(process, state, lease) if lease is not None else None


def _free(state: targets.TargetState) -> int:
    return state.load.engine.memory - state.load.memory_needed()
