"""Which targets are cold, and the sends that are held back from them."""

import logging

from kingcupfront_decisions import cold_targets
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import targets

LOG = logging.getLogger(__name__)

# A value that cannot be read is logged once in this time for all targets.
INVALID_LOG_INTERVAL_SECONDS = 10.0


def record_cold(
    process: gateway.Gateway, state: targets.TargetState, seconds: float
) -> None:
    """Record that a target is cold for a while; the latest end counts.

    :param seconds: how long from now on.
    """
    until = process.clock.monotonic() + seconds
    if seconds <= 0 or until <= state.signs.cold_until:
        return
    state.signs.cold_until = until
    process.targets.remember_signs(state)
    if is_bounded(state) and not state.signs.is_logged_as_cold:
        state.signs.is_logged_as_cold = True
        LOG.info(
            'target_cold',
            extra={'target': state.target.id, 'seconds': round(seconds, 3)},
        )


def record_zone_cold(process: gateway.Gateway, zone: str) -> None:
    """Record that all targets of a data centre may have become cold."""
    for state in process.targets.by_id.values():
        if state.target.zone == zone and state.service is not None:
            record_cold(process, state, state.service.warmup_seconds)


def log_invalid(
    process: gateway.Gateway, state: targets.TargetState, text: str
) -> None:
    """Log a warm-up time that cannot be read, at a limited rate."""
    now = process.clock.monotonic()
    if now < process.invalid_warmup_logged_at + INVALID_LOG_INTERVAL_SECONDS:
        return
    process.invalid_warmup_logged_at = now
    LOG.warning(
        'warmup_ignored', extra={'target': state.target.id, 'value': text}
    )


def log_warm(process: gateway.Gateway) -> None:
    """Log the targets that are no longer cold."""
    now = process.clock.monotonic()
    for state in process.targets.by_id.values():
        if state.signs.is_logged_as_cold and state.signs.cold_until <= now:
            state.signs.is_logged_as_cold = False
            LOG.info('target_warm', extra={'target': state.target.id})
            process.targets.notify()


def is_bounded(state: targets.TargetState) -> bool:
    """Return whether a target gets few requests while it is cold."""
    return state.service is not None and state.service.bounds_cold_targets


def may_send(
    process: gateway.Gateway, state: targets.TargetState, now: float
) -> bool:
    """Return whether a target is warm or has a free slot."""
    if state.signs.cold_until <= now or not is_bounded(state):
        return True
    if state.target.zone != process.settings.zone:
        return False
    return process.cold_targets.may_send(
        state.target.id, _bound(process, state), now
    )


def acquire(process: gateway.Gateway, state: targets.TargetState) -> None:
    """Use a slot of a target if it is cold.

    :raises ColdTargetError: if none is free; nothing was sent then.
    """
    now = process.clock.monotonic()
    if state.signs.cold_until <= now or not is_bounded(state):
        return
    if state.target.zone == process.settings.zone:
        bound = _bound(process, state)
        if process.cold_targets.acquire(state.target.id, bound, now):
            return
    process.cold_deferrals.inc((state.target.service,))
    raise errors.ColdTargetError(
        f'{state.target.id} is cold for another '
        f'{state.signs.cold_until - now:.1f} s and gets no request now'
    )


def _bound(
    process: gateway.Gateway, state: targets.TargetState
) -> cold_targets.Bound:
    return cold_targets.Bound(
        state.service.warmup_rate,
        process.settings.warmup_overrun,
        process.settings.warmup_slack,
    )
