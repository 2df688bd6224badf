"""Forwards the events of one engine's reply to the caller.

While it waits for events it checks whether the engine fails or leaves.
"""

from collections.abc import Callable
import contextlib
import logging

from kingcupfront_decisions import software_versions
from kingcupfront_gateway import backups
from kingcupfront_gateway import candidates
from kingcupfront_gateway import engine_load
from kingcupfront_gateway import errors
from kingcupfront_gateway import exchange
from kingcupfront_gateway import failover as failovers
from kingcupfront_gateway import generation_context
from kingcupfront_gateway import migration
from kingcupfront_gateway import run_check
from kingcupfront_gateway import server_sent_events
from kingcupfront_gateway import services
from kingcupfront_gateway import sockets
from kingcupfront_gateway import stream_end
from kingcupfront_gateway import stream_origins
from kingcupfront_gateway import targets

LOG = logging.getLogger(__name__)

# How often a stream that waits for bytes checks the state of its engine.
STATE_CHECK_INTERVAL_SECONDS = 0.1
# An engine that sends no event for this long is considered dead if the
# generation can continue elsewhere.
ENGINE_SILENCE_SECONDS = 1.0
# The same for an engine whose report lists the generation. It may go on, and a
# takeover that fails makes the backup unusable.
WORKING_ENGINE_SILENCE_SECONDS = 2.0
# After this time without an event the engine's report is fetched, so that it
# is known when the engine counts as silent.
RUN_CHECK_SILENCE_SECONDS = 0.6
RUN_CHECK_INTERVAL_SECONDS = 0.5
# The first event may wait for the prefill of other prompts. After this
# fraction of the latency objective a retryable request goes to another engine.
FIRST_EVENT_WAIT_FRACTION = 1.0
# A backup starts at the first event and needs this long to catch up.
BACKUP_CATCH_UP_SECONDS = 1.0
# The time to find out whether an engine still accepts connections.
LISTENING_PROBE_SECONDS = 0.2


class EventForwarder:
    """Forwards the events of one reply.

    :param context: the generation.
    :param state: the engine that sends the reply.
    :param tracked: the generation as the engine's load counts it.
    :param release_prefill_lease: called when the prefill has ended.
    :param failover: prepares the attempt that follows this one.
    """

    def __init__(
        self,
        context: generation_context.GenerationContext,
        state: targets.TargetState,
        tracked: engine_load.TrackedGeneration,
        release_prefill_lease: Callable[[], None],
        failover: failovers.Failover,
    ) -> None:
        self._context = context
        self._process = context.process
        self._state = state
        self._tracked = tracked
        self._release_prefill_lease = release_prefill_lease
        self._failover = failover
        # Monotonic time of the last event or, before it, of the reply's head.
        self._silent_since = 0.0
        self._backup_asked_at = 0.0
        # Asks the engine about its work during the current silence.
        self._run_check: run_check.RunCheck | None = None

    def forward(self, reply: exchange.Reply) -> None:
        """Forward the events until the generation is complete.

        :raises TargetError: if the stream ends before that.
        """
        try:
            self._forward(reply)
        finally:
            self._end_run_check()

    def _forward(self, reply: exchange.Reply) -> None:
        splitter = server_sent_events.Splitter()
        self._silent_since = self._process.clock.monotonic()
        self._backup_asked_at = self._silent_since
        while (data := self._read_data(reply)) is not None:
            forwarded = b''.join(
                event.data
                for event in splitter.feed(data)
                if self._accept_event(event)
            )
            if forwarded:
                self._start_response(reply)
                self._context.connection.send_data(forwarded)
            self._tracked.produced_tokens = (
                self._context.progress.forwarded_tokens
            )
        self._raise_unless_complete(reply, splitter)
        reply.is_complete = True
        self._start_response(reply)
        self._context.connection.end_stream()

    def _raise_unless_complete(
        self,
        reply: exchange.Reply,
        splitter: server_sent_events.Splitter,
    ) -> None:
        """Return if the stream that ended is the whole generation.

        :raises TargetError: if it was stopped or cut off.
        """
        run_state = stream_end.RunState.RUNNING
        if self._context.migration is not None:
            if not reply.is_framed:
                self._context.migration.wait_for_stop()
            run_state = self._context.migration.run_state
        end = stream_end.StreamEnd(
            is_framed=reply.is_framed,
            is_between_events=splitter.is_at_event_boundary,
            has_events=bool(self._context.record.events)
            or self._context.progress.last_event_id is not None,
            run_state=run_state,
        )
        stream_end.raise_unless_complete(
            end,
            lambda: sockets.refuses_connections(
                self._state.target.address, LISTENING_PROBE_SECONDS
            ),
        )

    def _read_data(self, reply: exchange.Reply) -> bytes | None:
        """Return the next bytes, or None at the end of the stream.

        While it waits it checks whether the engine fails or leaves.
        """
        while True:
            if (
                self._context.progress.engine_first_event_at is not None
                and self._state.is_leaving
                and self._process.may_pause_streams
            ):
                self._leave_engine(reply)
            self._raise_if_silent_too_long(reply)
            with contextlib.suppress(errors.SilentTargetError):
                return reply.read_data(STATE_CHECK_INTERVAL_SECONDS)

    def _leave_engine(self, reply: exchange.Reply) -> None:
        """Start a migration, or fail over to the backup if there is none.

        :raises LeavingError: once the backup's engine continues.
        """
        current = self._context.migration
        if (
            current is not None
            and current.has_failed
            and current.relied_on_backup
            and self._failover.is_refused
        ):
            self._context.migration = None
        if (
            self._context.migration is None
            and self._state.load.capacity.supports_migration
        ):
            has_usable_backup = (
                self._backup_is_usable
                and self._backup_has_caught_up
                and not self._failover.is_refused
            )
            self._context.migration = migration.Migration(
                self._process,
                self._context.metadata.request_id,
                self._context.admitted,
                self._state,
                self._tracked,
                self._context.backup if has_usable_backup else None,
            )
        cannot_migrate = (
            self._context.migration is None
            or self._context.migration.has_failed
        )
        if (
            cannot_migrate
            and self._backup_is_usable
            and self._backup_has_caught_up
            and self._failover.take_over(self._state, reply)
        ):
            raise errors.LeavingError

    @property
    def _backup_has_caught_up(self) -> bool:
        age = (
            self._process.clock.monotonic()
            - self._context.progress.engine_first_event_at
        )
        return age > BACKUP_CATCH_UP_SECONDS

    @property
    def _backup_is_usable(self) -> bool:
        return (
            self._context.backup is not None
            and not self._context.backup.is_leaving
            and candidates.may_carry_on(
                self._context.begun, self._context.backup
            )
            and candidates.may_reach(
                self._process, self._context.admitted, self._context.backup
            )
        )

    def _raise_if_silent_too_long(self, reply: exchange.Reply) -> None:
        """Give up on an engine that sends no events.

        Only once the generation can continue elsewhere: the engine may be
        slow and sound.

        :raises SilentTargetError: to continue elsewhere.
        """
        now = self._process.clock.monotonic()
        silent_seconds = now - self._silent_since
        if not self._context.progress.forwarded_tokens:
            limit = (
                FIRST_EVENT_WAIT_FRACTION
                * self._context.route.latency_objective
            )
        else:
            limit = ENGINE_SILENCE_SECONDS
            self._check_run(silent_seconds)
        if silent_seconds <= limit:
            return
        if (
            self._context.response_started
            and not self._process.may_pause_streams
            and not self._is_migrated
        ):
            return
        if self._can_continue(reply, now):
            raise errors.SilentTargetError(
                f'no event for {silent_seconds:.3f} s'
            )

    def _can_continue(self, reply: exchange.Reply, now: float) -> bool:
        """Find where the generation can continue; return whether it can."""
        if self._is_migrated:
            return True
        current = self._context.migration
        if current is not None and current.is_stopping_run:
            # A run that is being stopped writes nothing.
            return False
        is_hung = (
            self._context.progress.forwarded_tokens > 0
            and now - self._silent_since > WORKING_ENGINE_SILENCE_SECONDS
        )
        return (
            (is_hung or not self._says_that_it_works)
            and self._has_usable_copy(now)
            and self._failover.take_over(
                self._state, reply, self._run_check, is_current_hung=is_hung
            )
        ) or self._failover.restart(
            self._state, reply.connection.close, is_current_hung=is_hung
        )

    def _check_run(self, silent_seconds: float) -> None:
        """Ask an engine that has been silent for a while about its work."""
        if silent_seconds <= RUN_CHECK_SILENCE_SECONDS or not (
            self._backup_is_usable
        ):
            return
        if self._run_check is None:
            self._run_check = run_check.RunCheck(
                self._process,
                self._state,
                self._context.metadata.request_id,
            )
        self._run_check.begin(RUN_CHECK_INTERVAL_SECONDS)

    def _end_run_check(self) -> None:
        if self._run_check is not None:
            self._run_check.cancel()
            self._run_check = None

    @property
    def _says_that_it_works(self) -> bool:
        return (
            self._run_check is not None
            and self._run_check.answer is run_check.RunAnswer.RUNNING
        )

    @property
    def _is_migrated(self) -> bool:
        current = self._context.migration
        return current is not None and current.has_succeeded

    def _has_usable_copy(self, now: float) -> bool:
        """Return whether the backup is complete; asks its engine at times."""
        if (
            not self._context.progress.forwarded_tokens
            or not self._backup_is_usable
            or now - self._backup_asked_at < ENGINE_SILENCE_SECONDS
        ):
            return False
        self._backup_asked_at = now
        return backups.is_complete(
            self._process,
            self._context.metadata.request_id,
            self._context.backup,
            self._tracked,
        )

    def _accept_event(self, event: server_sent_events.Event) -> bool:
        """Count an event; return whether it is to be forwarded."""
        now = self._process.clock.monotonic()
        is_first = self._context.progress.engine_first_event_at is None
        pause = now - self._context.progress.last_event_at
        tokens = self._state.load.capacity.tokens_per_event
        if not self._context.progress.accept(event, tokens, now):
            return False
        self._begin_stream()
        if event.id is not None:
            self._silent_since = now
            self._end_run_check()
            self._context.guard.record_event()
        self._context.record.events += 1
        if self._context.record.first_event_at is None:
            self._context.record.first_event_at = now
        if is_first:
            self._state.is_on_probation = False
            self._release_prefill_lease()
            if self._context.response_started:
                self._record_resumption(pause)
        return True

    def _begin_stream(self) -> None:
        """Bind the stream to the software that wrote its first event."""
        if self._context.begun is None:
            self._context.recorded_begun = software_versions.Begun(
                self._state.software_version, self._state.start
            )
            stream_origins.record(
                self._process, self._context, self._context.begun
            )

    def _record_resumption(self, pause: float) -> None:
        self._process.resume_pauses.record(pause)
        LOG.info(
            'generation_resumed',
            extra={
                'request': self._context.metadata.request_id,
                'target': self._state.target.id,
                'last_event': self._context.progress.last_event_id,
                'pause': round(pause, 3),
                'sends': self._context.record.attempts,
            },
        )

    def _start_response(self, reply: exchange.Reply) -> None:
        if self._context.response_started:
            return
        self._context.response_started = True
        self._context.record.status = reply.status
        self._context.connection.start_stream(
            reply.status,
            services.end_to_end_headers(reply.headers),
        )
