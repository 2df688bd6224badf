"""Runs calls to plain services and retries them where that is safe."""

import dataclasses

from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_entry import errors
from kingcupfront_entry import messages
from kingcupfront_entry import requests
from kingcupfront_entry import state
from kingcupfront_once import call
from kingcupfront_once import sender
from kingcupfront_route import routing_request
from kingcupfront_route import target

SERVER_ERROR_STATUS = 500
MAX_ATTEMPTS = 3
STOPPED_CODE = errors.DrainingError.code
FINAL_CODES = frozenset(
    {'key_expired', core_errors.TimedOutError.code, STOPPED_CODE}
)


def _always() -> None:
    """Allow the first write: the check used when there is nothing to check."""


class CallExecutor:
    """Sends calls to targets, with retries on other targets.

    :param process: the state of the process.
    """

    def __init__(self, process: state.State) -> None:
        self._process = process
        self._sender = sender.Sender()

    def run(
        self, request: call.Call, check: sender.PreWriteCheck = _always
    ) -> call.Result:
        """Run a call and return its result.

        The call is retried on another target only if it provably did not
        run, or if it is repeatable.

        :param request: the call.
        :param check: called right before the first byte of each attempt is
            written; raises a ``KingcupfrontError`` to prevent the attempt.
        """
        with requests.in_progress(
            self._process, request.team, request.service
        ) as (
            activity,
            summary,
        ):
            try:
                self._process.check_time_left(request.timeout_seconds)
                result = self._attempt(request, check, activity, summary)
            except errors.DrainingError as error:
                result = messages.failure_result(error)
            summary.outcome = result.outcome
            return result

    def _attempt(
        self,
        request: call.Call,
        check: sender.PreWriteCheck,
        activity: state.ActiveRequest,
        summary: requests.RequestSummary,
    ) -> call.Result:
        """Send a call to one target after another until it has a result."""
        deadline = self._process.clock.monotonic() + request.timeout_seconds
        excluded: frozenset[str] = frozenset()
        result = None
        for _ in range(MAX_ATTEMPTS):
            placement_request = self._placement_request(activity, deadline)
            try:
                with self._process.router.place(
                    placement_request, excluded
                ) as placement:
                    summary.target = placement.target.id
                    attempt_result = self._send(
                        placement.target, request, deadline, check
                    )
                    placement.outcome = _target_outcome(attempt_result)
            except core_errors.KingcupfrontError as error:
                result = result or messages.failure_result(error)
                break
            result = _combine(result, attempt_result)
            excluded |= {summary.target}
            if not _may_retry(request, attempt_result):
                break
        return _name_unknown(result)

    def _placement_request(
        self, activity: state.ActiveRequest, deadline: float
    ) -> routing_request.RoutingRequest:
        return routing_request.RoutingRequest(
            id=activity.id,
            team=activity.team,
            service=activity.service,
            place=self._process.settings.place,
            deadline=deadline,
        )

    def _send(
        self,
        attempt_target: target.Target,
        request: call.Call,
        deadline: float,
        check: sender.PreWriteCheck,
    ) -> call.Result:
        left = deadline - self._process.clock.monotonic()
        if left <= 0:
            return call.Result(
                outcomes.Outcome.NOT_RUN,
                code=core_errors.TimedOutError.code,
                reason=f'the time-out of {request.timeout_seconds:g} s passed'
                ' before the request was sent',
            )
        attempt = dataclasses.replace(request, timeout_seconds=left)
        return self._sender.send(attempt_target.address, attempt, check)


def _name_unknown(result: call.Result) -> call.Result:
    """Return the result of a call that the end of the process may have cut.

    The sender knows whether it had begun to write.
    """
    if (
        result.code == STOPPED_CODE
        and result.outcome is outcomes.Outcome.UNKNOWN
    ):
        return dataclasses.replace(result, code='no_answer')
    return result


def _combine(
    previous_result: call.Result | None, attempt_result: call.Result
) -> call.Result:
    if (
        previous_result is None
        or previous_result.outcome == outcomes.Outcome.NOT_RUN
    ):
        return attempt_result
    if attempt_result.outcome == outcomes.Outcome.NOT_RUN:
        return previous_result
    return attempt_result


def _may_retry(request: call.Call, result: call.Result) -> bool:
    if result.code in FINAL_CODES:
        return False
    if result.outcome == outcomes.Outcome.NOT_RUN:
        return True
    return request.repeatable and result.outcome == outcomes.Outcome.UNKNOWN


def _target_outcome(result: call.Result) -> outcomes.Outcome | None:
    """Return the outcome to record for the target, None if it was not asked.

    A 4xx response counts as a success of the target: the caller caused it.
    """
    if result.code in FINAL_CODES:
        return None
    is_answered = 0 < result.status < SERVER_ERROR_STATUS
    if result.outcome is outcomes.Outcome.FAILED and is_answered:
        return outcomes.Outcome.DONE
    return result.outcome
