"""Serves requests whose response is a stream of events from an engine.

If the engine fails or leaves, the generation continues on an engine that has
a copy of its KV cache, within the same response to the caller.
"""

import contextlib
import logging

import gevent

from kingcupfront_gateway import adapter
from kingcupfront_gateway import admission
from kingcupfront_gateway import attempt_plan
from kingcupfront_gateway import backups
from kingcupfront_gateway import caller
from kingcupfront_gateway import engine_load
from kingcupfront_gateway import errors
from kingcupfront_gateway import exchange
from kingcupfront_gateway import gateway
from kingcupfront_gateway import migration
from kingcupfront_gateway import objects
from kingcupfront_gateway import prefill_limit
from kingcupfront_gateway import progress
from kingcupfront_gateway import prompt_guard
from kingcupfront_gateway import reports
from kingcupfront_gateway import request_record
from kingcupfront_gateway import reservation
from kingcupfront_gateway import retry_after
from kingcupfront_gateway import server_sent_events
from kingcupfront_gateway import services
from kingcupfront_gateway import sockets
from kingcupfront_gateway import stream_end
from kingcupfront_gateway import targets

LOG = logging.getLogger(__name__)

MAX_ATTEMPTS = 40
# How often a stream that waits for bytes checks the state of its engine.
STATE_CHECK_INTERVAL_SECONDS = 0.1
# An engine that sends no event for this long is considered dead if the
# generation can continue elsewhere.
ENGINE_SILENCE_SECONDS = 1.0
# The first event may wait for the prefill of other prompts. After this
# fraction of the latency objective a retryable request goes to another engine.
FIRST_EVENT_WAIT_FRACTION = 1.0
# The longest wait for a free engine, as a fraction of the latency objective.
CAPACITY_WAIT_FRACTION = 0.6
# A shorter generation ends before a backup of its KV cache would be of use.
MIN_BACKUP_TOKENS = 100
# The age limit of the reports by which an engine is chosen for a backup.
BACKUP_REPORT_MAX_AGE_SECONDS = 2.0
# A backup starts at the first event and needs this long to catch up.
BACKUP_CATCH_UP_SECONDS = 1.0
# The time to find out whether an engine still accepts connections.
LISTENING_PROBE_SECONDS = 0.2
HTTP_OK = 200


class Generation:
    """Serves one generation, with as many attempts as it needs.

    :param process: the shared state of the process.
    :param connection: the connection to the caller.
    :param request: the caller's request.
    :param metadata: the metadata from its headers.
    :param record: the times and counts of the request.
    :param admitted: its admission, which is renewed before each retry.
    """

    def __init__(
        self,
        process: gateway.Gateway,
        connection: caller.CallerConnection,
        request: caller.Request,
        metadata: adapter.RequestMetadata,
        record: request_record.RequestRecord,
        admitted: gateway.Admission,
    ) -> None:
        self._process = process
        self._connection = connection
        self._request = request
        self._metadata = metadata
        self._record = record
        self._tried_ids: set[str] = set()
        self._progress = progress.Progress(metadata.last_event_id)
        self._response_started = False
        self._backup: targets.TargetState | None = None
        self._migration: migration.Migration | None = None
        self._prefill_lease: prefill_limit.PrefillLease | None = None
        # Monotonic time of the last event or, before it, of the reply's head.
        self._silent_since = 0.0
        self._backup_asked_at = 0.0
        self._expected_output_tokens = engine_load.expected_output_tokens(
            metadata.length_hint, metadata.max_output_tokens
        )
        self._admitted = admitted
        self._guard = prompt_guard.PromptGuard(process, metadata)

    def serve(self) -> None:
        """Forward the generation's events until it is complete.

        :raises RefusedError: if the request was not executed and will not be.
        :raises TargetError: if the generation cannot continue.
        """
        plan = self._plan_fresh_start()
        try:
            while True:
                try:
                    self._make_attempt(plan)
                    self._guard.record_end()
                    plan.state.record_result(
                        True, self._process.clock.monotonic()
                    )
                    return
                except errors.TargetError as failure:
                    self._record_failure(plan, failure)
                    self._guard.record_failure(plan.state, failure)
                    plan = self._plan_after_failure(plan, failure)
        finally:
            self._cancel_migration()

    def _plan_after_failure(
        self, plan: attempt_plan.AttemptPlan, failure: errors.TargetError
    ) -> attempt_plan.AttemptPlan:
        try:
            self._readmit()
            return self._plan_next_attempt(plan, failure)
        except errors.RefusedError as refusal:
            if self._record.possible_executions:
                # It may have been executed, so the caller must not be told
                # that it was not.
                raise failure from refusal
            raise

    def _readmit(self) -> None:
        """Renew the admission unless the response has started."""
        if not self._response_started:
            self._admitted = admission.admit(
                self._process, self._request, self._metadata
            )

    @property
    def _route(self) -> objects.Route:
        return self._admitted.route

    def _engines(self) -> list[targets.TargetState]:
        """Return the available engines, untried ones only if there are any."""
        now = self._process.clock.monotonic()
        service = services.choose_service(self._route, self._process.rng)
        candidates = self._process.targets.available_engines(service, now)
        return [
            s for s in candidates if s.target.id not in self._tried_ids
        ] or candidates

    @property
    def _memory_tokens(self) -> int:
        return self._metadata.prompt_tokens + max(
            self._expected_output_tokens, self._progress.forwarded_tokens
        )

    def _plan_fresh_start(self) -> attempt_plan.AttemptPlan:
        """Reserve an engine on which to start; wait if all are full.

        :raises RefusedError: if no engine has capacity in time, or if the
            prompt would crash it.
        """
        self._guard.refuse_if_blocked(is_sending=False)
        until = min(
            self._process.clock.monotonic()
            + CAPACITY_WAIT_FRACTION * self._route.latency_objective,
            self._record.deadline - self._route.latency_objective,
        )
        self._refuse_if_silent(until)
        reserved = None
        if self._record.attempts < MAX_ATTEMPTS:
            reserved = reservation.reserve_engine(
                self._process,
                self._engines,
                self._metadata.request_id,
                self._memory_tokens,
                until,
            )
        if reserved is None:
            raise self._refusal('no_room')
        with reservation.released_on_error(self._process, reserved):
            self._guard.refuse_if_blocked(is_sending=True)
        return attempt_plan.AttemptPlan(
            reserved.state,
            lease=reserved.lease,
            prefill_lease=reserved.prefill_lease,
        )

    def _refuse_if_silent(self, until: float) -> None:
        """Refuse at once if all engines asked for silence for too long."""
        process = self._process
        now = process.clock.monotonic()
        waits = [
            process.targets.first_return(share.service, now)
            for share in self._route.shares
        ]
        are_all_silent = all(wait is not None for wait in waits)
        if are_all_silent and now + min(waits) > until:
            raise retry_after.silence_refusal(
                min(waits), self._record.seconds_left(now), process.rng
            )

    def _plan_next_attempt(
        self, plan: attempt_plan.AttemptPlan, failure: errors.TargetError
    ) -> attempt_plan.AttemptPlan:
        """Return how the generation continues after a failed attempt.

        :raises RefusedError: if no engine or retry budget is left.
        :raises TargetError: if the generation cannot continue.
        """
        self._guard.refuse_if_blocked(is_sending=True)
        clock = self._process.clock
        budget = self._process.retry_budget_for(plan.state.target.service)
        can_repeat = not (
            failure.may_have_run or isinstance(failure, errors.SilencedError)
        )
        if plan.copy is not None and can_repeat:
            retry_plan = plan.retry()
            if retry_plan is not None:
                budget.record_retry(clock.monotonic())
                gevent.sleep(retry_plan.backoff_seconds)
                return retry_plan
        from_copy = self._plan_from_copy(failure)
        if from_copy is not None:
            budget.record_retry(clock.monotonic())
            return from_copy
        if not self._record.possible_executions:
            return self._replan_fresh_start(failure, budget)
        if not self._has_executions_left or not budget.try_acquire(
            clock.monotonic()
        ):
            raise failure
        return self._plan_fresh_start()

    @property
    def _has_executions_left(self) -> bool:
        return (
            self._route.retry_mode is not objects.RetryMode.AT_MOST_ONCE
            and self._record.possible_executions < self._route.max_executions
            and self._guard.may_repeat
        )

    def _plan_from_copy(
        self, failure: errors.TargetError
    ) -> attempt_plan.AttemptPlan | None:
        """Return the plan that continues from a KV cache copy, if any."""
        backup, self._backup = self._backup, None
        current_migration, self._migration = self._migration, None
        if current_migration is not None:
            migrated = current_migration.result(
                0
                if isinstance(failure, errors.LeavingError)
                else current_migration.end_wait_seconds
            )
            current_migration.cancel()
            if migrated is not None:
                return attempt_plan.AttemptPlan(migrated.state, migrated.copy)
        if backup is None or backup.is_removed:
            return None
        if not self._progress.forwarded_tokens and not self._guard.may_repeat:
            return None
        may_retry = (
            self._route.retry_mode is not objects.RetryMode.AT_MOST_ONCE
        )
        if may_retry and not self._progress.forwarded_tokens:
            # A fresh start loses nothing, and there may be no copy yet.
            return None
        copy = adapter.CacheCopy(
            backup.target.address, self._metadata.request_id
        )
        return attempt_plan.AttemptPlan(backup, copy)

    def _replan_fresh_start(
        self, failure: errors.TargetError, budget: object
    ) -> attempt_plan.AttemptPlan:
        """Return another fresh start for a request that was not executed."""
        needs_no_budget = isinstance(failure, errors.UnreachableError)
        now = self._process.clock.monotonic()
        if not needs_no_budget and not budget.try_acquire(now):
            raise self._refusal('no_repeats_left')
        return self._plan_fresh_start()

    def _refusal(self, reason: str) -> errors.RefusedError:
        seconds_left = self._record.seconds_left(
            self._process.clock.monotonic()
        )
        return retry_after.refusal(reason, seconds_left, self._process.rng)

    def _choose_backup(
        self, state: targets.TargetState
    ) -> targets.TargetState | None:
        if not state.load.capacity.supports_backups:
            return None
        if (
            self._expected_output_tokens - self._progress.forwarded_tokens
            < MIN_BACKUP_TOKENS
        ):
            return None
        neighbours = reports.nearby_engines(
            self._process, state.target, BACKUP_REPORT_MAX_AGE_SECONDS
        )
        return self._process.placement.choose_backup_engine(
            neighbours, self._memory_tokens, state.target
        )

    def _make_attempt(self, plan: attempt_plan.AttemptPlan) -> None:
        """Send the request to an engine and forward its reply."""
        now = self._process.clock.monotonic()
        state = plan.state
        backup = self._choose_backup(state)
        seconds_left = self._record.seconds_left(now)
        self._record.start_attempt(state.target)
        self._guard.record_sent()
        attempt = adapter.Attempt(
            state.target,
            seconds_left,
            team=self._admitted.team and self._admitted.team.name,
            backup=backup and backup.target,
            copy=plan.copy,
            last_event_id=self._progress.last_event_id,
            lease=plan.lease,
        )
        LOG.log(
            logging.DEBUG if plan.retries else logging.INFO,
            'generation_sent',
            extra={
                'request': self._metadata.request_id,
                'target': state.target.id,
                'backup': backup.target.id if backup else '',
                'from_copy': bool(plan.copy),
                'has_lease': bool(plan.lease),
                'has_turn': bool(plan.prefill_lease),
                'after_event': self._progress.last_event_id,
                'prompt_tokens': self._metadata.prompt_tokens,
                'prompt_parts': self._metadata.shared_parts_summary,
                'expected_tokens': self._expected_output_tokens,
                **state.load.summary(now),
            },
        )
        tracked = engine_load.TrackedGeneration(
            self._metadata.prompt_tokens,
            self._expected_output_tokens,
            now,
            self._progress.forwarded_tokens,
        )
        with contextlib.ExitStack() as stack:
            stack.callback(self._process.targets.notify)
            self._prefill_lease = plan.prefill_lease
            stack.callback(self._release_prefill_lease)
            stack.enter_context(
                state.load.track(self._metadata.request_id, tracked)
            )
            if backup is not None:
                stack.enter_context(
                    backup.load.track(
                        self._metadata.request_id, tracked.as_copy()
                    )
                )
            reply = stack.enter_context(
                exchange.send_request(
                    self._process,
                    state,
                    self._request,
                    self._metadata,
                    attempt,
                    self._record,
                    timeout=seconds_left
                    + request_record.DEADLINE_SLACK_SECONDS,
                    watching=self._guard.watching,
                )
            )
            if reply.status != HTTP_OK:
                self._forward_error(reply)
                return
            if not reply.metadata.is_signed:
                raise errors.BrokenReplyError(
                    f'status {reply.status} without a signature'
                )
            self._backup = backup
            self._progress.engine_first_event_at = None
            self._forward_events(reply, state, tracked)

    def _forward_error(self, reply: exchange.Reply) -> None:
        """Forward the engine's own error reply."""
        body = reply.read_body(
            self._record.seconds_left(self._process.clock.monotonic())
        )
        if self._response_started:
            raise errors.BrokenReplyError(
                f'status {reply.status} after the response had started'
            )
        self._record.status = reply.status
        self._connection.send_response(
            reply.status,
            services.end_to_end_headers(reply.headers),
            body,
        )

    def _forward_events(
        self,
        reply: exchange.Reply,
        state: targets.TargetState,
        tracked: engine_load.TrackedGeneration,
    ) -> None:
        splitter = server_sent_events.Splitter()
        self._silent_since = self._process.clock.monotonic()
        self._backup_asked_at = self._silent_since
        while (data := self._read_data(reply, state, tracked)) is not None:
            forwarded = b''.join(
                event.data
                for event in splitter.feed(data)
                if self._accept_event(event, state)
            )
            if forwarded:
                self._start_response(reply)
                self._connection.send_data(forwarded)
            tracked.produced_tokens = self._progress.forwarded_tokens
        self._raise_unless_complete(reply, splitter, state)
        reply.is_complete = True
        self._start_response(reply)
        self._connection.end_stream()

    def _raise_unless_complete(
        self,
        reply: exchange.Reply,
        splitter: server_sent_events.Splitter,
        state: targets.TargetState,
    ) -> None:
        """Return if the stream that ended is the whole generation.

        :raises TargetError: if it was stopped or cut off.
        """
        run_state = stream_end.RunState.RUNNING
        if self._migration is not None:
            if not reply.is_framed:
                self._migration.wait_for_stop()
            run_state = self._migration.run_state
        end = stream_end.StreamEnd(
            is_framed=reply.is_framed,
            is_between_events=splitter.is_at_event_boundary,
            has_events=bool(self._record.events)
            or self._progress.last_event_id is not None,
            run_state=run_state,
        )
        stream_end.raise_unless_complete(
            end,
            lambda: sockets.refuses_connections(
                state.target.address, LISTENING_PROBE_SECONDS
            ),
        )

    def _read_data(
        self,
        reply: exchange.Reply,
        state: targets.TargetState,
        tracked: engine_load.TrackedGeneration,
    ) -> bytes | None:
        """Return the next bytes, or None at the end of the stream.

        While it waits it checks whether the engine fails or leaves.
        """
        while True:
            if (
                self._progress.engine_first_event_at is not None
                and state.is_leaving
                and self._process.may_pause_streams
            ):
                self._leave_engine(state, tracked)
            self._raise_if_silent_too_long(state, tracked)
            with contextlib.suppress(errors.SilentTargetError):
                return reply.connection.read_data(STATE_CHECK_INTERVAL_SECONDS)

    def _leave_engine(
        self,
        state: targets.TargetState,
        tracked: engine_load.TrackedGeneration,
    ) -> None:
        """Start a migration, or fail over to the backup if there is none.

        :raises LeavingError: to continue from the backup.
        """
        if self._migration is None and state.load.capacity.supports_migration:
            has_usable_backup = (
                self._backup_is_usable and self._backup_has_caught_up
            )
            self._migration = migration.Migration(
                self._process,
                self._metadata.request_id,
                state,
                tracked,
                self._backup if has_usable_backup else None,
            )
        cannot_migrate = self._migration is None or self._migration.has_failed
        if (
            cannot_migrate
            and self._backup_is_usable
            and self._backup_has_caught_up
        ):
            raise errors.LeavingError

    @property
    def _backup_has_caught_up(self) -> bool:
        age = (
            self._process.clock.monotonic()
            - self._progress.engine_first_event_at
        )
        return age > BACKUP_CATCH_UP_SECONDS

    @property
    def _backup_is_usable(self) -> bool:
        return self._backup is not None and not self._backup.is_leaving

    def _cancel_migration(self) -> None:
        if self._migration is not None:
            self._migration.cancel()

    def _raise_if_silent_too_long(
        self,
        state: targets.TargetState,
        tracked: engine_load.TrackedGeneration,
    ) -> None:
        """Give up on an engine that sends no events.

        Only if the generation can continue elsewhere: the engine may be slow
        and sound.

        :raises SilentTargetError: to continue elsewhere.
        """
        now = self._process.clock.monotonic()
        silent_seconds = now - self._silent_since
        if not self._progress.forwarded_tokens:
            limit = FIRST_EVENT_WAIT_FRACTION * self._route.latency_objective
        else:
            limit = ENGINE_SILENCE_SECONDS
        if silent_seconds <= limit:
            return
        if self._response_started and not self._process.may_pause_streams:
            return
        may_restart = self._has_executions_left and (
            self._process.retry_budget_for(state.target.service).has_left(now)
        )
        if may_restart or self._has_usable_copy(tracked, now):
            raise errors.SilentTargetError(
                f'no event for {silent_seconds:.3f} s'
            )

    def _has_usable_copy(
        self, tracked: engine_load.TrackedGeneration, now: float
    ) -> bool:
        """Return whether the backup is complete; asks its engine at times."""
        if (
            not self._progress.forwarded_tokens
            or not self._backup_is_usable
            or now - self._backup_asked_at < ENGINE_SILENCE_SECONDS
        ):
            return False
        self._backup_asked_at = now
        return backups.is_complete(
            self._process, self._metadata.request_id, self._backup, tracked
        )

    def _accept_event(
        self, event: server_sent_events.Event, state: targets.TargetState
    ) -> bool:
        """Count an event; return whether it is to be forwarded."""
        now = self._process.clock.monotonic()
        is_first = self._progress.engine_first_event_at is None
        pause = now - self._progress.last_event_at
        tokens = state.load.capacity.tokens_per_event
        if not self._progress.accept(event, tokens, now):
            return False
        if event.id is not None:
            self._silent_since = now
            self._guard.record_event()
        self._record.events += 1
        if self._record.first_event_at is None:
            self._record.first_event_at = now
        if is_first:
            state.is_on_probation = False
            self._release_prefill_lease()
            if self._response_started:
                self._record_resumption(state, pause)
        return True

    def _release_prefill_lease(self) -> None:
        if self._prefill_lease is not None:
            self._prefill_lease.release()

    def _record_resumption(
        self, state: targets.TargetState, pause: float
    ) -> None:
        self._process.resume_pauses.record(pause)
        LOG.info(
            'generation_resumed',
            extra={
                'request': self._metadata.request_id,
                'target': state.target.id,
                'last_event': self._progress.last_event_id,
                'pause': round(pause, 3),
                'sends': self._record.attempts,
            },
        )

    def _start_response(self, reply: exchange.Reply) -> None:
        if self._response_started:
            return
        self._response_started = True
        self._record.status = reply.status
        self._connection.start_stream(
            reply.status,
            services.end_to_end_headers(reply.headers),
        )

    def _record_failure(
        self, plan: attempt_plan.AttemptPlan, failure: errors.TargetError
    ) -> None:
        state = plan.state
        self._tried_ids.add(state.target.id)
        self._record.resumptions += self._response_started
        self._record.record_failure(state, failure)
        is_expected = self._migration or isinstance(
            failure, (errors.LeavingError, errors.BlockedPromptError)
        )
        if not is_expected:
            state.record_result(False, self._process.clock.monotonic())
        LOG.log(
            logging.DEBUG if plan.retries else logging.INFO,
            'generation_interrupted',
            extra={
                'request': self._metadata.request_id,
                'target': state.target.id,
                'cause': failure.code,
                'detail': str(failure),
                'may_have_run': failure.may_have_run,
                'last_event': self._progress.last_event_id,
                'prompt_parts': self._metadata.shared_parts_summary,
                'backup': self._backup.target.id if self._backup else '',
                'is_moving': self._migration is not None,
                **state.load.summary(self._process.clock.monotonic()),
            },
        )
