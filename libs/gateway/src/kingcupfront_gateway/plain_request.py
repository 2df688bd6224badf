"""Serves requests whose reply is buffered before it is forwarded."""

import contextlib
import logging

from kingcupfront_gateway import adapter
from kingcupfront_gateway import admission
from kingcupfront_gateway import caller
from kingcupfront_gateway import candidates
from kingcupfront_gateway import error_replies
from kingcupfront_gateway import errors
from kingcupfront_gateway import exchange
from kingcupfront_gateway import gateway
from kingcupfront_gateway import objects
from kingcupfront_gateway import prompt_guard
from kingcupfront_gateway import request_record
from kingcupfront_gateway import retry_after
from kingcupfront_gateway import second_attempt
from kingcupfront_gateway import services
from kingcupfront_gateway import targets

LOG = logging.getLogger(__name__)

# For a request whose attempts are rejected or find no open port.
MAX_ATTEMPTS = 5
# The fraction of the time left for an attempt that may be retried.
FIRST_ATTEMPT_FRACTION = 0.5
SERVER_ERROR = 500


class PlainRequest:
    """Serves one request, with as many attempts as it needs.

    :param process: the shared state of the process.
    :param request: the caller's request.
    :param metadata: the metadata from its headers.
    :param record: the times and counts of the request.
    :param admitted: its admission, which is renewed before each retry.
    """

    def __init__(
        self,
        process: gateway.Gateway,
        request: caller.Request,
        metadata: adapter.RequestMetadata,
        record: request_record.RequestRecord,
        admitted: gateway.Admission,
    ) -> None:
        self._process = process
        self._request = request
        self._metadata = metadata
        self._record = record
        self._admitted = admitted
        self._guard = prompt_guard.PromptGuard(process, metadata)
        self._tried_ids: set[str] = set()
        # The last error reply of a target, forwarded if all retries fail.
        self._error_reply: tuple[exchange.Reply, bytes] | None = None
        self._last_failure: errors.TargetError | None = None

    def serve(self, connection: caller.CallerConnection) -> None:
        """Obtain a reply and forward it to the caller.

        :param connection: the connection to the caller.
        :raises RefusedError: if the request was not executed and will not be.
        :raises TargetError: if it may have been executed and has no reply.
        """
        route = self._admitted.route
        if route.retry_mode is objects.RetryMode.AT_MOST_ONCE:
            # What it does cannot be taken back, so it is not broken off.
            connection.is_sent = lambda: bool(self._record.possible_executions)
        reply, body = self._obtain_reply(connection)
        error_replies.raise_if_unproven_refusal(reply, self._admitted.route)
        self._record.status = reply.status
        connection.send_response(
            reply.status,
            services.end_to_end_headers(reply.headers),
            body,
        )

    def _obtain_reply(
        self, connection: caller.CallerConnection
    ) -> tuple[exchange.Reply, bytes]:
        """Return a successful reply, or the best error reply."""
        while True:
            connection.raise_if_left()
            try:
                reply, body = self._try_once(self._admitted)
                if reply is None:
                    self._admitted = admission.admit(
                        self._process, self._request, self._metadata
                    )
            except (
                errors.GatewayError,
                errors.OutOfTimeError,
                errors.StoppingError,
            ) as failure:
                if self._error_reply is not None:
                    return self._error_reply
                if (
                    self._record.possible_executions
                    and self._last_failure is not None
                ):
                    # It may have been executed, so the caller must not be
                    # told that it was not.
                    raise self._last_failure from failure
                raise
            if reply is not None:
                return reply, body

    def _try_once(
        self, admitted: gateway.Admission
    ) -> tuple[exchange.Reply | None, bytes]:
        """Make an attempt; return no reply if another is to follow."""
        self._guard.refuse_if_blocked(is_sending=True)
        state = self._choose_target(admitted)
        may_retry = self._may_retry(admitted.route)
        second = second_attempt.SecondAttempt(
            lambda: self._choose_second_target(state),
            lambda other: self._send(other, self._admitted),
            self._record_sent_failure,
            self._record_error_reply,
            lambda: self._record.seconds_left(self._process.clock.monotonic()),
        )
        with contextlib.closing(second):
            try:
                reply, body = self._send(
                    state, admitted, second if may_retry else None
                )
            except errors.TargetError as failure:
                self._record_sent_failure(state, failure)
                result = second.wait()
                if result is None:
                    self._raise_unless_retryable(
                        state, admitted.route, failure
                    )
                    return None, b''
            else:
                result = None
                if reply.status >= SERVER_ERROR:
                    self._error_reply = reply, body
                    result = second.wait()
            if result is not None:
                state, reply, body = result
        is_ok = reply.status < SERVER_ERROR
        if reply.is_success:
            self._guard.record_event()
            self._guard.record_end()
        state.record_result(is_ok, self._process.clock.monotonic())
        # The attempt beside this one may have been the last that is allowed.
        may_retry = may_retry and self._may_execute_again(admitted.route)
        if is_ok or not may_retry or not self._acquire_retry(state):
            return reply, body
        self._error_reply = reply, body
        return None, b''

    def _choose_target(
        self, admitted: gateway.Admission
    ) -> targets.TargetState:
        now = self._process.clock.monotonic()
        candidates.refuse_if_impossible(self._process, admitted, None)
        service = services.choose_service(admitted.route, self._process.rng)
        usable = candidates.for_request(self._process, admitted, service, now)
        untried = [s for s in usable if s.target.id not in self._tried_ids]
        state = self._process.placement.choose_plain_target(untried or usable)
        if state is None and usable:
            # All slots are busy by own count: the least busy target queues it.
            state = min(untried or usable, key=lambda s: s.in_flight)
        if state is not None and self._record.attempts < MAX_ATTEMPTS:
            return state
        wait = candidates.first_return(self._process, admitted, service, now)
        if state is None and wait is not None:
            raise retry_after.silence_refusal(
                wait, self._record.seconds_left(now), self._process.rng
            )
        reason = 'no_target' if state is None else 'all_refused'
        raise retry_after.refusal(reason, None, self._process.rng)

    def _may_retry(self, route: objects.Route) -> bool:
        """Return whether another attempt may follow the next one."""
        return (
            route.retry_mode is not objects.RetryMode.AT_MOST_ONCE
            and self._record.possible_executions + 1 < route.max_executions
            and self._guard.may_repeat
        )

    def _may_execute_again(self, route: objects.Route) -> bool:
        """Return whether another attempt may be made now."""
        return (
            route.retry_mode is not objects.RetryMode.AT_MOST_ONCE
            and self._record.possible_executions < route.max_executions
            and self._guard.may_repeat
        )

    def _send(
        self,
        state: targets.TargetState,
        admitted: gateway.Admission,
        second: second_attempt.SecondAttempt | None = None,
    ) -> tuple[exchange.Reply, bytes]:
        """Send the request and read the whole reply.

        :param second: begins once the time for a first attempt has passed;
            None to wait for this one only.
        """
        seconds_left = self._record.seconds_left(
            self._process.clock.monotonic()
        )
        timeout = (
            seconds_left * FIRST_ATTEMPT_FRACTION
            if second is not None
            else seconds_left + request_record.DEADLINE_SLACK_SECONDS
        )
        self._record.start_attempt(state.target)
        self._guard.record_sent()
        attempt = adapter.Attempt(
            state.target,
            seconds_left,
            team=admitted.team and admitted.team.name,
        )
        with exchange.send_request(
            self._process,
            state,
            self._request,
            self._metadata,
            admitted,
            attempt,
            self._record,
            timeout=timeout,
            watching=self._guard.watching,
            more_time=second and second.more_time,
        ) as reply:
            with (
                second.ending(reply.connection)
                if second is not None
                else contextlib.nullcontext()
            ):
                body = reply.read_body(timeout)
        if reply.is_success and not reply.metadata.is_signed:
            raise errors.BrokenReplyError(
                f'status {reply.status} without a signature'
            )
        return reply, body

    def _choose_second_target(
        self, slow: targets.TargetState
    ) -> targets.TargetState | None:
        """Return where the request goes beside a slow target, or None.

        The admission is renewed and the retry taken from the budget.
        """
        try:
            self._admitted = admission.admit(
                self._process, self._request, self._metadata
            )
        except errors.RefusedError:
            return None
        if (
            not self._may_execute_again(self._admitted.route)
            or self._record.attempts >= MAX_ATTEMPTS
        ):
            return None
        now = self._process.clock.monotonic()
        service = services.choose_service(
            self._admitted.route, self._process.rng
        )
        usable = list(
            candidates.for_request(self._process, self._admitted, service, now)
        )
        untried = [
            state
            for state in usable
            if state is not slow and state.target.id not in self._tried_ids
        ]
        if usable == [slow]:
            # The request may have been lost on its connection.
            untried = usable
        chosen = self._process.placement.choose_plain_target(untried)
        if chosen is not None and self._acquire_retry(slow):
            self._tried_ids.add(chosen.target.id)
            return chosen
        return None

    def _record_sent_failure(
        self, state: targets.TargetState, failure: errors.TargetError
    ) -> None:
        """Record a failed attempt; find out whether its target has crashed."""
        self._record_failure(state, failure)
        self._guard.record_failure(state, failure)

    def _record_failure(
        self, state: targets.TargetState, failure: errors.TargetError
    ) -> None:
        self._tried_ids.add(state.target.id)
        self._record.record_failure(state, failure)
        if failure.may_have_run:
            self._last_failure = failure
        if not isinstance(failure, errors.ForbiddenTargetError):
            state.record_result(False, self._process.clock.monotonic())
        LOG.info(
            'send_failed',
            extra={
                'request': self._metadata.request_id,
                'target': state.target.id,
                'cause': failure.code,
                'detail': str(failure),
                'may_have_run': failure.may_have_run,
            },
        )

    def _record_error_reply(
        self, state: targets.TargetState, reply: exchange.Reply, body: bytes
    ) -> None:
        """Keep the error reply of a target beside a slow one."""
        self._tried_ids.add(state.target.id)
        self._error_reply = reply, body
        state.record_result(False, self._process.clock.monotonic())

    def _raise_unless_retryable(
        self,
        state: targets.TargetState,
        route: objects.Route,
        failure: errors.TargetError,
    ) -> None:
        """Raise the failure unless the request may be retried.

        :raises RefusedError: if the retry budget is exhausted.
        """
        if failure.may_have_run and (
            route.retry_mode is objects.RetryMode.AT_MOST_ONCE
            or not self._guard.may_repeat
            or self._record.possible_executions >= route.max_executions
        ):
            raise failure
        if isinstance(failure, errors.UnreachableError):
            return
        if not self._acquire_retry(state):
            raise retry_after.refusal(
                'no_repeats_left', None, self._process.rng
            )

    def _acquire_retry(self, state: targets.TargetState) -> bool:
        now = self._process.clock.monotonic()
        self._tried_ids.add(state.target.id)
        return self._process.retry_budget_for(
            state.target.service
        ).try_acquire(now)
