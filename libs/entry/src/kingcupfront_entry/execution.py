"""Runs a call on a target, and again elsewhere only where that is safe."""

import dataclasses

from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_entry import messages
from kingcupfront_entry import requests
from kingcupfront_entry import state
from kingcupfront_once import call
from kingcupfront_once import sender
from kingcupfront_route import routing_request
from kingcupfront_route import target

SERVER_ERROR_STATUS = 500
MAX_ATTEMPTS = 3
FINAL_CODES = frozenset({'key_expired', core_errors.TimedOutError.code})


def _always() -> None:
    """Allow the first write."""


class Execution:
    """Runs calls to plain services on targets.

    :param process: the process.
    """

    def __init__(self, process: state.State) -> None:
        self._process = process
        self._sender = sender.Sender()

    def run(
        self, work: call.Call, check: sender.Check = _always
    ) -> call.Result:
        """Run a call and return how it ended.

        Another target is tried only if the call has provably not run, or
        may run twice.

        :param work: the call.
        :param check: called right before each first write; raises a
            ``KingcupfrontError`` to prevent it.
        """
        with requests.in_progress(self._process, work.team, work.service) as (
            activity,
            ending,
        ):
            end = self._process.clock.monotonic() + work.timeout_seconds
            excluded: frozenset[str] = frozenset()
            result = None
            for _ in range(MAX_ATTEMPTS):
                wanted = self._job(activity, end)
                try:
                    with self._process.router.place(
                        wanted, excluded
                    ) as placement:
                        ending.target = placement.target.id
                        fresh = self._send(placement.target, work, end, check)
                        placement.outcome = _blame(fresh)
                except core_errors.KingcupfrontError as error:
                    result = result or messages.failed(error)
                    break
                result = _merge(result, fresh)
                excluded |= {ending.target}
                if not _may_retry(work, fresh):
                    break
            ending.outcome = result.outcome
            return result

    def _job(
        self, activity: state.Activity, end: float
    ) -> routing_request.RoutingRequest:
        return routing_request.RoutingRequest(
            id=activity.id,
            team=activity.team,
            service=activity.service,
            place=self._process.settings.place,
            deadline=end,
        )

    def _send(
        self,
        chosen: target.Target,
        work: call.Call,
        end: float,
        check: sender.Check,
    ) -> call.Result:
        left = end - self._process.clock.monotonic()
        if left <= 0:
            return call.Result(
                outcomes.Outcome.NOT_RUN,
                code=core_errors.TimedOutError.code,
                reason='no time was left to send the request',
            )
        trial = dataclasses.replace(work, timeout_seconds=left)
        return self._sender.send(chosen.address, trial, check)


def _merge(earlier: call.Result | None, fresh: call.Result) -> call.Result:
    if earlier is None or earlier.outcome == outcomes.Outcome.NOT_RUN:
        return fresh
    if fresh.outcome == outcomes.Outcome.NOT_RUN:
        return earlier
    return fresh


def _may_retry(work: call.Call, result: call.Result) -> bool:
    if result.code in FINAL_CODES:
        return False
    if result.outcome == outcomes.Outcome.NOT_RUN:
        return True
    return work.repeatable and result.outcome == outcomes.Outcome.UNKNOWN


def _blame(result: call.Result) -> outcomes.Outcome | None:
    """Return how the target did, or None if it was not asked.

    An answer of 4xx is the caller's fault.
    """
    if result.code in FINAL_CODES:
        return None
    is_answered = 0 < result.status < SERVER_ERROR_STATUS
    if result.outcome is outcomes.Outcome.FAILED and is_answered:
        return outcomes.Outcome.DONE
    return result.outcome
