"""Finds an engine with capacity for a generation and reserves it.

Load pattern: many instances place generations on the same engines at the same
time, and their knowledge of the load is out of date. Each asks a few engines
for their load and the best of them for a lease, so no two instances count on
the same capacity.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import typing

import gevent
from gevent import event

from kingcupfront_decisions import reserve
from kingcupfront_decisions import urgency as urgencies
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import leases
from kingcupfront_gateway import prefill_limit
from kingcupfront_gateway import reports
from kingcupfront_gateway import targets

LOG = logging.getLogger(__name__)

# A more recent report is not requested again.
REPORT_MAX_AGE_SECONDS = 0.5
# A lease is used within less than a round trip.
LEASE_SECONDS = 1.0
# The samples of engines that are tried before a request waits.
MAX_SAMPLES = 3
# A waiting request tries again after this time, or after any change.
RETRY_INTERVAL_SECONDS = 0.1


class Reservation(typing.NamedTuple):
    """An engine that is to get a generation.

    :param lease: the name of the lease, or None if the engine grants none.
    :param prefill_lease: the lease that admits the prefill, if one is needed.
    """

    state: targets.TargetState
    lease: str | None = None
    prefill_lease: prefill_limit.PrefillLease | None = None


class Terms(typing.NamedTuple):
    """How urgent a generation is among those of its service.

    :param service: the service whose room it waits for.
    :param urgency: its urgency.
    :param regions: the regions in which it may be served; None for all.
    """

    service: str
    urgency: urgencies.Urgency
    regions: frozenset[str] | None = None


class PlacementRequest(typing.NamedTuple):
    """The needs of one generation.

    :param request_id: the id of the request, for logs.
    :param tokens: the KV cache that it will need.
    :param is_final_try: whether this is the last try before the request is
        refused. It takes no prefill lease: late is better than refused.
    :param terms: its urgency; None if it has none.
    """

    request_id: str
    tokens: int
    is_final_try: bool
    terms: Terms | None = None


@contextlib.contextmanager
def released_on_error(
    process: gateway.Gateway, reserved: Reservation
) -> Iterator[None]:
    """Release a reservation if the block raises, without waiting for it."""
    try:
        yield
    except BaseException:
        if reserved.prefill_lease is not None:
            reserved.prefill_lease.release()
        if reserved.lease is not None:
            gevent.spawn(
                leases.release, process, reserved.state, reserved.lease
            )
        raise


def reserve_engine(
    process: gateway.Gateway,
    engines: Callable[[], list[targets.TargetState]],
    request_id: str,
    tokens: int,
    until: float,
    terms: Terms | None = None,
) -> Reservation | None:
    """Reserve an engine for a generation; wait if all are full.

    Of the requests that wait for the same engines, the most urgent asks.

    :param engines: returns the engines that may be used at the moment.
    :param request_id: the id of the request, for logs.
    :param tokens: the KV cache that the generation will need.
    :param until: the monotonic time at which to give up.
    :param terms: its urgency; None if it does not wait for others.
    :returns: the reservation, or None if there is none in time.
    """
    with _turn(process, terms) as wait_for_turn:
        while True:
            seconds_left = until - process.clock.monotonic()
            if wait_for_turn(seconds_left):
                continue
            placement_request = PlacementRequest(
                request_id, tokens, seconds_left <= 0, terms
            )
            reserved = _reserve_from_samples(
                process, engines(), placement_request
            )
            if reserved is not None or seconds_left <= 0:
                return reserved
            process.targets.changed.wait(
                min(seconds_left, RETRY_INTERVAL_SECONDS)
            )


@contextlib.contextmanager
def _turn(
    process: gateway.Gateway, terms: Terms | None
) -> Iterator[Callable[[float], bool]]:
    """Wait in the order of urgency while the block runs.

    :returns: a function that waits for at most so many seconds while others
        go first, and returns whether it did.
    """
    if terms is None:
        yield lambda _: False
        return
    now = process.clock.monotonic()
    urgent_part = process.demand.urgent_part(
        terms.service, terms.urgency.rank, now
    )
    due = terms.urgency.virtual_deadline(urgent_part, now)
    key = terms.service, terms.regions
    is_first = event.Event()
    place = process.waiting.enter(key, due, is_first.set)

    def wait(seconds: float) -> bool:
        if place.is_first or seconds <= 0:
            return False
        is_first.clear()
        is_first.wait(seconds)
        return True

    try:
        yield wait
    finally:
        process.waiting.leave(key, place)


def _reserve_from_samples(
    process: gateway.Gateway,
    engines: list[targets.TargetState],
    placement_request: PlacementRequest,
) -> Reservation | None:
    """Try samples of the engines until one has capacity."""
    remaining, unresponsive = list(engines), []
    for _ in range(MAX_SAMPLES):
        sampled = process.placement.sample_engines(remaining)
        reports.refresh(process, sampled, REPORT_MAX_AGE_SECONDS)
        now = process.clock.monotonic()
        responsive = [
            s
            for s in sampled
            if s.load is not None
            and s.load.report_age(now) <= REPORT_MAX_AGE_SECONDS
        ]
        if placement_request.terms is not None:
            process.crowding.record(
                placement_request.terms.service,
                [state.load.part_in_use() for state in responsive],
                now,
            )
        reserved = _reserve_best(process, responsive, placement_request)
        if reserved is not None:
            return reserved
        unresponsive += [state for state in sampled if state not in responsive]
        remaining = [state for state in remaining if state not in sampled]
    # All engines that answered are full. One that did not report its load in
    # time may still have capacity.
    return _reserve_best(process, unresponsive[:1], placement_request)


def _reserve_best(
    process: gateway.Gateway,
    sampled: list[targets.TargetState],
    placement_request: PlacementRequest,
) -> Reservation | None:
    now = process.clock.monotonic()
    candidates = [state for state in sampled if state.accepts_work(now)]
    while True:
        state = process.placement.choose_engine(
            candidates,
            placement_request.tokens,
            lambda s: _room_left(process, s, placement_request.terms),
        )
        if state is None:
            return None
        if not state.load.capacity.lease_seconds:
            return Reservation(state)
        reserved = _acquire_leases(process, state, placement_request)
        if reserved is not None:
            return reserved
        candidates.remove(state)


def _room_left(
    process: gateway.Gateway, state: targets.TargetState, terms: Terms | None
) -> reserve.Room:
    """Return the room that a generation leaves on an engine."""
    if terms is None:
        return reserve.NONE
    now = process.clock.monotonic()
    return reserve.room_to_leave(
        terms.urgency,
        process.demand,
        terms.service,
        state.load.capacity.memory_tokens,
        process.crowding.reserve_part(terms.service, now),
        now,
    )


def _limits_prefills(
    process: gateway.Gateway, placement_request: PlacementRequest
) -> bool:
    """Return whether a generation waits until few prefills run.

    Urgent ones do not: the others leave engines time for their prefills.
    """
    if placement_request.is_final_try:
        return False
    terms = placement_request.terms
    return terms is None or not process.demand.is_urgent(
        terms.service, terms.urgency.rank, process.clock.monotonic()
    )


def _acquire_leases(
    process: gateway.Gateway,
    state: targets.TargetState,
    placement_request: PlacementRequest,
) -> Reservation | None:
    """Acquire the prefill lease, if one is needed, and then the lease."""
    prefill_lease, cause = None, ''
    try:
        left = _room_left(process, state, placement_request.terms)
        if _limits_prefills(
            process, placement_request
        ) and prefill_limit.needs_lease(state, placement_request.tokens, left):
            prefill_lease = prefill_limit.acquire(process, state, left)
            cause = '' if prefill_lease else 'reads_enough'
        if not cause:
            lease = leases.acquire(
                process, state, placement_request.tokens, LEASE_SECONDS
            )
            if lease is not None and not state.is_leaving:
                return Reservation(state, lease, prefill_lease)
            if lease is not None:
                gevent.spawn(leases.release, process, state, lease)
            cause = 'no_room' if lease is None else 'leaving'
    except errors.TargetError as error:
        cause = error.code
        state.record_result(False, process.clock.monotonic())
    if prefill_lease is not None:
        prefill_lease.release()
    LOG.info(
        'lease_refused',
        extra={
            'request': placement_request.request_id,
            'target': state.target.id,
            'cause': cause,
            'tokens': placement_request.tokens,
            'is_last': placement_request.is_final_try,
            **state.load.summary(process.clock.monotonic()),
        },
    )
    return None
