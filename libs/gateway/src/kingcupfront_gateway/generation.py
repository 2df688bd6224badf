"""Serves requests whose response is a stream of events from an engine.

If the engine fails or leaves, the generation continues on an engine that has
a copy of its KV cache, within the same response to the caller.
"""

import contextlib
import logging

from kingcupfront_gateway import adapter
from kingcupfront_gateway import admission
from kingcupfront_gateway import attempt_plan
from kingcupfront_gateway import caller
from kingcupfront_gateway import engine_load
from kingcupfront_gateway import error_replies
from kingcupfront_gateway import errors
from kingcupfront_gateway import event_forwarder
from kingcupfront_gateway import exchange
from kingcupfront_gateway import failover
from kingcupfront_gateway import gateway
from kingcupfront_gateway import generation_context
from kingcupfront_gateway import generation_planner
from kingcupfront_gateway import progress
from kingcupfront_gateway import prompt_guard
from kingcupfront_gateway import reports
from kingcupfront_gateway import request_record
from kingcupfront_gateway import services
from kingcupfront_gateway import stream_origins
from kingcupfront_gateway import targets

LOG = logging.getLogger(__name__)

# A shorter generation ends before a backup of its KV cache would be of use.
MIN_BACKUP_TOKENS = 100
# The age limit of the reports by which an engine is chosen for a backup.
BACKUP_REPORT_MAX_AGE_SECONDS = 2.0
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
        self._context = generation_context.GenerationContext(
            process=process,
            connection=connection,
            request=request,
            metadata=metadata,
            record=record,
            admitted=admitted,
            guard=prompt_guard.PromptGuard(process, metadata),
            progress=progress.Progress(metadata.last_event_id),
            expected_output_tokens=engine_load.expected_output_tokens(
                metadata.length_hint, metadata.max_output_tokens
            ),
        )
        self._planner = generation_planner.GenerationPlanner(self._context)
        self._failover = failover.Failover(
            self._context, self._planner, self._open_attempt
        )

    def serve(self) -> None:
        """Forward the generation's events until it is complete.

        :raises RefusedError: if the request was not executed and will not be.
        :raises MalformedRequestError: if it is unclear where the generation
            is to go on; from its begin, another stream might follow the
            events that the caller has.
        :raises TargetError: if the generation cannot continue.
        """
        context = self._context
        if context.metadata.invalid_last_event:
            raise errors.MalformedRequestError('invalid header last-event-id')
        if context.metadata.last_event_id is not None:
            context.recorded_begun = stream_origins.find(
                self._process, context.metadata, context.route
            )
            stream_origins.record(
                self._process, context, context.recorded_begun
            )
        plan = self._planner.plan_fresh_start()
        try:
            while True:
                try:
                    self._make_attempt(plan)
                    self._context.guard.record_end()
                    plan.state.record_result(
                        True, self._process.clock.monotonic()
                    )
                    return
                except errors.TargetError as failure:
                    self._record_failure(plan, failure)
                    self._context.guard.record_failure(plan.state, failure)
                    plan = self._plan_after_failure(plan, failure)
        finally:
            self._context.cancel_migration()
            self._failover.close()

    def _plan_after_failure(
        self, plan: attempt_plan.AttemptPlan, failure: errors.TargetError
    ) -> attempt_plan.AttemptPlan:
        try:
            if self._failover.plan is not None:
                return self._failover.plan
            self._readmit()
            return self._planner.plan_next_attempt(plan, failure)
        except errors.RefusedError as refusal:
            if self._context.record.possible_executions:
                # It may have been executed, so the caller must not be told
                # that it was not.
                raise failure from refusal
            raise

    def _readmit(self) -> None:
        """Renew the admission unless the response has started."""
        if not self._context.response_started:
            self._context.admitted = admission.admit(
                self._process, self._context.request, self._context.metadata
            )

    def _choose_backup(
        self, state: targets.TargetState
    ) -> targets.TargetState | None:
        if not state.load.capacity.supports_backups:
            return None
        if (
            self._context.expected_output_tokens
            - self._context.progress.forwarded_tokens
            < MIN_BACKUP_TOKENS
        ):
            return None
        neighbours = reports.nearby_engines(
            self._process,
            self._context.admitted,
            state,
            BACKUP_REPORT_MAX_AGE_SECONDS,
        )
        # Engines that it has left may be dead.
        left_ids = self._context.record.target_ids
        others = [s for s in neighbours if s.target.id not in left_ids]
        choose, tokens = (
            self._process.placement.choose_backup_engine,
            self._context.memory_tokens,
        )
        return choose(others, tokens, state.target) or choose(
            neighbours, tokens, state.target
        )

    def _make_attempt(self, plan: attempt_plan.AttemptPlan) -> None:
        """Send the request to an engine and forward its reply."""
        self._context.guard.record_sent()
        opened = self._failover.take() or self._open_attempt(plan)
        with opened.resources:
            reply = opened.reply
            if reply.status != HTTP_OK:
                self._forward_error(reply)
                return
            if not reply.metadata.is_signed:
                raise errors.BrokenReplyError(
                    f'status {reply.status} without a signature'
                )
            self._context.backup = opened.backup if reply.has_backup else None
            self._context.progress.engine_first_event_at = None
            event_forwarder.EventForwarder(
                self._context,
                plan.state,
                opened.tracked,
                plan.release_prefill_lease,
                self._failover,
            ).forward(reply)

    def _open_attempt(
        self,
        plan: attempt_plan.AttemptPlan,
        timeout: float | None = None,
        more_time: exchange.MoreTime | None = None,
    ) -> failover.OpenAttempt:
        """Send the request to an engine and wait for the head of its reply.

        :param timeout: seconds to wait for it while another engine runs the
            generation; None to wait for as long as the caller does.
        :param more_time: called each time that these seconds have passed;
            returns for how much longer to wait. The prompt may be read again
            then.
        :raises TargetError: if no reply that matches the request arrives.
        """
        now = self._process.clock.monotonic()
        state = plan.state
        backup = self._choose_backup(state)
        seconds_left = self._context.record.seconds_left(now)
        self._context.record.start_attempt(state.target)
        attempt = adapter.Attempt(
            state.target,
            seconds_left,
            team=self._context.admitted.team
            and self._context.admitted.team.name,
            backup=backup and backup.target,
            copy=plan.copy,
            last_event_id=self._context.progress.last_event_id,
            lease=plan.lease,
        )
        self._log_attempt(plan, backup, now)
        tracked = engine_load.TrackedGeneration(
            self._context.metadata.prompt_tokens,
            self._context.expected_output_tokens,
            now,
            self._context.progress.forwarded_tokens,
        )
        with contextlib.ExitStack() as stack:
            stack.callback(self._process.targets.notify)
            stack.callback(plan.release_prefill_lease)
            stack.enter_context(
                state.load.track(self._context.metadata.request_id, tracked)
            )
            if backup is not None:
                stack.enter_context(
                    backup.load.track(
                        self._context.metadata.request_id, tracked.as_copy()
                    )
                )
            reply = stack.enter_context(
                exchange.send_request(
                    self._process,
                    state,
                    self._context.request,
                    self._context.metadata,
                    self._context.admitted,
                    attempt,
                    self._context.record,
                    timeout=seconds_left
                    + request_record.DEADLINE_SLACK_SECONDS
                    if timeout is None
                    else timeout,
                    watching=self._context.guard.watching
                    if timeout is None or more_time is not None
                    else contextlib.nullcontext,
                    begun=self._context.begun,
                    more_time=more_time,
                )
            )
            return failover.OpenAttempt(
                plan, reply, tracked, backup, stack.pop_all()
            )

    def _log_attempt(
        self,
        plan: attempt_plan.AttemptPlan,
        backup: targets.TargetState | None,
        now: float,
    ) -> None:
        state = plan.state
        LOG.log(
            logging.DEBUG if plan.retries else logging.INFO,
            'generation_sent',
            extra={
                'request': self._context.metadata.request_id,
                'target': state.target.id,
                'backup': backup.target.id if backup else '',
                'from_copy': bool(plan.copy),
                'has_lease': bool(plan.lease),
                'has_turn': bool(plan.prefill_lease),
                'after_event': self._context.progress.last_event_id,
                'prompt_tokens': self._context.metadata.prompt_tokens,
                'prompt_parts': self._context.metadata.shared_parts_summary,
                'expected_tokens': self._context.expected_output_tokens,
                **state.load.summary(now),
            },
        )

    def _forward_error(self, reply: exchange.Reply) -> None:
        """Forward the engine's own error reply."""
        body = reply.read_body(
            self._context.record.seconds_left(self._process.clock.monotonic())
        )
        if self._context.response_started:
            raise errors.BrokenReplyError(
                f'status {reply.status} after the response had started'
            )
        error_replies.raise_if_unproven_refusal(reply, self._context.route)
        self._context.record.status = reply.status
        self._context.connection.send_response(
            reply.status,
            services.end_to_end_headers(reply.headers),
            body,
        )

    def _record_failure(
        self, plan: attempt_plan.AttemptPlan, failure: errors.TargetError
    ) -> None:
        state = plan.state
        self._context.tried_ids.add(state.target.id)
        self._context.record.resumptions += self._context.response_started
        self._context.record.record_failure(state, failure)
        is_expected = self._context.migration or isinstance(
            failure,
            (
                errors.LeavingError,
                errors.BlockedPromptError,
                errors.ForbiddenTargetError,
            ),
        )
        if not is_expected:
            state.record_result(False, self._process.clock.monotonic())
        LOG.log(
            logging.DEBUG if plan.retries else logging.INFO,
            'generation_interrupted',
            extra={
                'request': self._context.metadata.request_id,
                'target': state.target.id,
                'cause': failure.code,
                'detail': str(failure),
                'may_have_run': failure.may_have_run,
                'last_event': self._context.progress.last_event_id,
                'prompt_parts': self._context.metadata.shared_parts_summary,
                'backup': self._context.backup.target.id
                if self._context.backup
                else '',
                'is_moving': self._context.migration is not None,
                **state.load.summary(self._process.clock.monotonic()),
            },
        )
