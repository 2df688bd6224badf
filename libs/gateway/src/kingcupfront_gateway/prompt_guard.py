"""Keeps requests from engines that a part of their prompts would crash."""

from collections.abc import Iterator
import contextlib
import functools
import logging

from kingcupfront_gateway import adapter
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import sockets
from kingcupfront_gateway import targets
from kingcupfront_gateway import upstream

LOG = logging.getLogger(__name__)

# The last bytes of an engine that crashes may be those of a first event, so
# an answer counts as written only after it has gone on for this long.
BEGINNING_SECONDS = 0.3
# The time to find out whether an engine still accepts connections; a round
# trip between regions fits in.
PROBE_TIMEOUT_SECONDS = 0.2
# A request whose parts are under suspicion for this many crashes is not sent
# a second time.
MAX_CRASHES_TO_REPEAT = 1


class PromptGuard:
    """Follows one request and decides whether it may go to an engine.

    :param process: the shared state of the process.
    :param metadata: the metadata of the request.
    """

    def __init__(
        self, process: gateway.Gateway, metadata: adapter.RequestMetadata
    ) -> None:
        self._process = process
        self._evidence = process.crash_evidence
        self._request_id = metadata.request_id
        self._part_names = metadata.shared_part_names
        self._sent_at = 0.0
        # When the current engine began to write; None before that.
        self._writing_since: float | None = None
        self._is_recorded = False
        self._is_trial = False

    def refuse_if_blocked(self, *, is_sending: bool) -> None:
        """Refuse the request if a part of its prompt crashes engines.

        Once a block is old enough, one request is let through as a trial.

        :param is_sending: whether the request is sent next, so that a trial
            begins.
        :raises RefusedError: with the time of the next trial.
        """
        now = self._process.clock.monotonic()
        group = self._evidence.blocked_group(self._part_names, now)
        if group is None or self._is_trial:
            return
        wait = self._evidence.trial_wait(group, now)
        if wait > 0:
            raise errors.RefusedError(503, 'crashing_prompt_part', wait)
        if is_sending:
            self._evidence.start_trial(group, now)
            self._is_trial = True

    @property
    def may_repeat(self) -> bool:
        """Whether the request may go to another engine after a failure."""
        return (
            self._evidence.crashes(self._part_names) <= MAX_CRASHES_TO_REPEAT
        )

    def record_sent(self) -> None:
        """Record that the request is sent to an engine."""
        self._sent_at = self._process.clock.monotonic()
        self._writing_since, self._is_recorded = None, False

    @contextlib.contextmanager
    def watching(
        self, connection: upstream.UpstreamConnection
    ) -> Iterator[None]:
        """Close the connection if the prompt is blocked while the block runs.

        Engines drop most requests whose connection closes, so this saves
        those that have not come to the prompt. It ends with the first event.

        :param connection: the connection that carries the request.
        """
        if not self._part_names or self._is_trial:
            yield
            return
        error = errors.BlockedPromptError(','.join(self._part_names))
        with self._evidence.calling_when_blocked(
            self._part_names, functools.partial(self._abort, connection, error)
        ):
            yield

    def _abort(
        self,
        connection: upstream.UpstreamConnection,
        error: errors.BlockedPromptError,
    ) -> None:
        if self._writing_since is None:
            connection.abort(error)

    def record_event(self) -> None:
        """Record that the engine has written an event of the answer."""
        now = self._process.clock.monotonic()
        if self._writing_since is None:
            self._writing_since = now
        elif now - self._writing_since >= BEGINNING_SECONDS:
            self._record_written()

    def record_end(self) -> None:
        """Record that the reply has ended and the engine lives.

        An error reply, such as one at the deadline of a request that waited,
        says nothing of the prompt.
        """
        if self._writing_since is not None:
            self._record_written()

    def _record_written(self) -> None:
        if self._is_recorded:
            return
        self._is_recorded = True
        self._evidence.record_written(
            self._part_names,
            self._writing_since,
            self._process.clock.monotonic(),
        )

    def record_failure(
        self, state: targets.TargetState, failure: errors.TargetError
    ) -> None:
        """Record a failed attempt; find out whether the engine has crashed.

        Only a connection that ended before the answer had really begun says
        anything of the prompt.
        """
        if (
            self._is_recorded
            or not self._part_names
            or state.is_leaving
            or not isinstance(failure, errors.BrokenReplyError)
        ):
            return
        now = self._process.clock.monotonic()
        # A broken connection alone may be the network's fault.
        if not sockets.refuses_connections(
            state.target.address, PROBE_TIMEOUT_SECONDS
        ):
            return
        self._process.engine_crashes.inc()
        LOG.info(
            'engine_crashed',
            extra={
                'request': self._request_id,
                'target': state.target.id,
                'prompt_parts': ','.join(self._part_names),
                'seconds': round(now - self._sent_at, 3),
            },
        )
        self._evidence.record_crash(
            state.start,
            self._part_names,
            sent_at=self._sent_at,
            now=now,
        )
