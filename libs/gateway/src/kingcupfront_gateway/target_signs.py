"""Applies what targets say of themselves in the heads of their replies.

Load pattern: a target leaves, or is overloaded, and says so in its answers
before the directory does, or while the directory is out of reach.
"""

import logging

from kingcupfront_gateway import adapter
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import targets
from kingcupfront_gateway import warmth

LOG = logging.getLogger(__name__)

# Instances do not all return at the moment at which a silence ends.
MAX_RETURN_DELAY_SECONDS = 0.25
# A header that cannot be read is logged once in this time for all targets.
INVALID_LOG_INTERVAL_SECONDS = 10.0


def raise_if_silenced(state: targets.TargetState, now: float) -> None:
    """Raise if a target has asked to be sent nothing.

    :raises SilencedError: nothing was sent then.
    """
    if state.silent_until > now:
        raise errors.SilencedError(
            f'{state.target.id} asked to be sent nothing for another '
            f'{state.silent_until - now:.2f} s'
        )


def apply(
    process: gateway.Gateway,
    state: targets.TargetState,
    reply: adapter.ReplyMetadata,
    request_id: str,
) -> None:
    """Apply the head of a reply that is known to be the target's own.

    :param request_id: the request or call that it answers, for logs.
    """
    if reply.is_leaving and not state.signs.is_leaving:
        state.signs.is_leaving = True
        process.targets.remember_signs(state)
        LOG.info(
            'target_leaving',
            extra={
                'target': state.target.id,
                'told_by': 'reply',
                'request': request_id,
            },
        )
        process.targets.notify()
    if reply.warmup_seconds:
        warmth.record_cold(process, state, reply.warmup_seconds)
    if reply.invalid_warmup:
        warmth.log_invalid(process, state, reply.invalid_warmup)
    if reply.silence_seconds:
        _apply_silence(process, state, reply.silence_seconds, request_id)
    elif reply.invalid_silence:
        _log_invalid(process, state, reply.invalid_silence)


def _apply_silence(
    process: gateway.Gateway,
    state: targets.TargetState,
    seconds: float,
    request_id: str,
) -> None:
    now = process.clock.monotonic()
    until = now + seconds
    if until <= state.silent_until:
        return
    state.signs.silent_until = until + process.rng.uniform(
        0, MAX_RETURN_DELAY_SECONDS
    )
    state.signs.is_on_probation = True
    process.targets.remember_signs(state)
    process.target_silences.inc((state.target.service,))
    LOG.info(
        'target_silent',
        extra={
            'target': state.target.id,
            'seconds': round(seconds, 3),
            'request': request_id,
        },
    )
    process.targets.notify()


def _log_invalid(
    process: gateway.Gateway, state: targets.TargetState, text: str
) -> None:
    now = process.clock.monotonic()
    if now < process.invalid_silence_logged_at + INVALID_LOG_INTERVAL_SECONDS:
        return
    process.invalid_silence_logged_at = now
    LOG.warning(
        'retry_after_ignored',
        extra={'target': state.target.id, 'value': text},
    )
