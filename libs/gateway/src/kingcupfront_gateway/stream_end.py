"""Decides whether a stream that ended is a whole generation.

Fault pattern: a stream without length or chunks ends when its connection
closes, whether its generation is complete, was stopped to be migrated, or
was cut off by the end of its engine.
"""

from collections.abc import Callable
import dataclasses
import enum

from kingcupfront_gateway import adapter
from kingcupfront_gateway import errors


class RunState(enum.Enum):
    """What is known of the run of a generation on its engine."""

    # Nobody has asked the engine to stop it.
    RUNNING = 'running'
    # The engine was asked to stop it and has not answered.
    MAYBE_STOPPED = 'maybe_stopped'
    # The engine has stopped it so that it continues elsewhere.
    STOPPED = 'stopped'
    # The engine says that it had ended before it was to be stopped.
    ENDED = 'ended'


def state_after_transfer(
    previous: RunState, transfer: adapter.CacheTransfer, *, is_last: bool
) -> RunState:
    """Return what an engine's answer to a migration call says of the run.

    :param previous: what was known before the call.
    :param transfer: the answer.
    :param is_last: whether the call asked the engine to stop the run.
    """
    if transfer.run_has_ended:
        # It may not be known because an earlier call has stopped it.
        return RunState.ENDED if previous is RunState.RUNNING else previous
    if transfer.is_refused:
        return previous
    if not is_last:
        return RunState.RUNNING if transfer.handle else previous
    return RunState.STOPPED if transfer.handle else RunState.MAYBE_STOPPED


@dataclasses.dataclass(frozen=True)
class StreamEnd:
    """How a stream ended.

    :param is_framed: whether its length or a last chunk marks the end;
        otherwise the end of the connection does.
    :param is_between_events: whether the last event was complete.
    :param has_events: whether the caller has an event of the generation.
    :param run_state: the state of its run.
    """

    is_framed: bool
    is_between_events: bool
    has_events: bool
    run_state: RunState


def raise_unless_complete(
    end: StreamEnd, engine_is_down: Callable[[], bool]
) -> None:
    """Return if the stream is the whole generation.

    :param engine_is_down: whether nothing listens at the engine's address;
        called only if the end of the connection is the only sign.
    :raises StoppedRunError: if its run was or may have been stopped.
    :raises BrokenReplyError: if it was cut off.
    """
    if end.is_framed and end.is_between_events:
        return
    if not end.is_framed and end.run_state in (
        RunState.STOPPED,
        RunState.MAYBE_STOPPED,
    ):
        raise errors.StoppedRunError(end.run_state.value)
    if not end.is_between_events:
        raise errors.BrokenReplyError('stream ended within an event')
    if not end.has_events:
        raise errors.BrokenReplyError('stream without an event')
    if end.run_state is not RunState.ENDED and engine_is_down():
        raise errors.BrokenReplyError('stream ended with its engine')
