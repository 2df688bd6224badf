"""Finds an engine with room for a generation and reserves it there.

Load pattern: many instances place generations on the same engines in the
same moments, and what each knows of them is late. Each asks a few engines
for their load and the best of them for a lease, so no two instances count on
the same room.
"""

from collections.abc import Callable
import logging
import typing

from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import leases
from kingcupfront_gateway import prefill_limit
from kingcupfront_gateway import reports
from kingcupfront_gateway import targets

LOG = logging.getLogger(__name__)

# A report this young is not asked for again.
FRESH_SECONDS = 0.5
# From the lease to its use passes less than a round trip.
LEASE_SECONDS = 1.0
# Samples of engines that are asked before a request waits.
MAX_ROUNDS = 3
# A request that waits asks again after this, if nothing changes before.
RETRY_SECONDS = 0.1


class Reservation(typing.NamedTuple):
    """An engine, and the name of the lease there if it offers leases.

    :param turn: the turn to read the prompt, if one is needed.
    """

    state: targets.TargetState
    lease: str | None = None
    prefill_lease: prefill_limit.PrefillLease | None = None


class PlacementRequest(typing.NamedTuple):
    """What a generation needs.

    :param request_id: the id of the attempt, for logs.
    :param tokens: the memory that it will need.
    :param is_last: whether this is the last try; better late than refused,
        so it takes no turn to read its prompt.
    """

    request_id: str
    tokens: int
    is_last: bool


def reserve_engine(
    process: gateway.Gateway,
    engines: Callable[[], list[targets.TargetState]],
    request_id: str,
    tokens: int,
    until: float,
) -> Reservation | None:
    """Wait for an engine with room.

    :param engines: returns those that may be used now.
    :param tokens: the memory that the generation will need.
    :param until: the second at which to give up.
    """
    clock = process.clock
    while True:
        left = until - clock.monotonic()
        wish = PlacementRequest(request_id, tokens, left <= 0)
        reserved = _find_now(process, engines(), wish)
        if reserved is not None or left <= 0:
            return reserved
        process.targets.changed.wait(min(left, RETRY_SECONDS))


def _find_now(
    process: gateway.Gateway,
    known: list[targets.TargetState],
    wish: PlacementRequest,
) -> Reservation | None:
    """Ask some engines, and some others if none of them has room."""
    rest, silent = list(known), []
    for _ in range(MAX_ROUNDS):
        asked = process.placement.sample(rest)
        reports.refresh(process, asked, FRESH_SECONDS)
        now = process.clock.monotonic()
        heard = [
            s
            for s in asked
            if s.load is not None and s.load.report_age(now) <= FRESH_SECONDS
        ]
        reserved = _reserve_one(process, heard, wish)
        if reserved is not None:
            return reserved
        silent += [state for state in asked if state not in heard]
        rest = [state for state in rest if state not in asked]
    # No engine that answers has room. One that did not tell its load in time
    # may still have some.
    return _reserve_one(process, silent[:1], wish)


def _reserve_one(
    process: gateway.Gateway,
    asked: list[targets.TargetState],
    wish: PlacementRequest,
) -> Reservation | None:
    candidates = [state for state in asked if not state.is_leaving]
    while True:
        state = process.placement.choose_engine(candidates, wish.tokens)
        if state is None:
            return None
        if not state.load.capacity.lease_seconds:
            return Reservation(state)
        reserved = _take(process, state, wish)
        if reserved is not None:
            return reserved
        candidates.remove(state)


def _take(
    process: gateway.Gateway,
    state: targets.TargetState,
    wish: PlacementRequest,
) -> Reservation | None:
    """Take a lease, and before it a turn to read the prompt."""
    prefill_lease, cause = None, ''
    try:
        if not wish.is_last and prefill_limit.needs_lease(state, wish.tokens):
            prefill_lease = prefill_limit.acquire(process, state)
            cause = '' if prefill_lease else 'reads_enough'
        if not cause:
            lease = leases.acquire(process, state, wish.tokens, LEASE_SECONDS)
            if lease is not None:
                return Reservation(state, lease, prefill_lease)
            cause = 'no_room'
    except errors.TargetError as error:
        cause = error.code
        state.note_result(False, process.clock.monotonic())
    if prefill_lease is not None:
        prefill_lease.release()
    LOG.info(
        'lease_refused',
        extra={
            'request': wish.request_id,
            'target': state.target.id,
            'cause': cause,
            'tokens': wish.tokens,
            'is_last': wish.is_last,
            **state.load.summary(process.clock.monotonic()),
        },
    )
    return None
