"""Runs a call on a target, and again elsewhere only where that is safe."""

import dataclasses

from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_entry import messages
from kingcupfront_entry import requests
from kingcupfront_entry import state
from kingcupfront_once import call
from kingcupfront_once import sender
from kingcupfront_route import job

MAX_ATTEMPTS = 3


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
                left = end - self._process.clock.monotonic()
                if left <= 0 and result is not None:
                    break
                trial = dataclasses.replace(work, timeout_seconds=left)
                try:
                    fresh, target = self._attempt(
                        activity, trial, excluded, check
                    )
                except core_errors.KingcupfrontError as error:
                    result = result or messages.failed(error)
                    break
                ending.target = target
                result = _merge(result, fresh)
                excluded |= {target}
                if not _may_retry(work, fresh):
                    break
            ending.outcome = result.outcome
            return result

    def _attempt(
        self,
        activity: state.Activity,
        work: call.Call,
        excluded: frozenset[str],
        check: sender.Check,
    ) -> tuple[call.Result, str]:
        wanted = job.Job(
            id=activity.id,
            team=work.team,
            service=work.service,
            place=self._process.settings.place,
        )
        with self._process.router.place(wanted, excluded) as placement:
            result = self._sender.send(placement.target.address, work, check)
            placement.outcome = result.outcome
            return result, placement.target.id


def _merge(earlier: call.Result | None, fresh: call.Result) -> call.Result:
    if earlier is None or earlier.outcome == outcomes.Outcome.NOT_RUN:
        return fresh
    if fresh.outcome == outcomes.Outcome.NOT_RUN:
        return earlier
    return fresh


def _may_retry(work: call.Call, result: call.Result) -> bool:
    if result.code == 'key_expired':
        return False
    if result.outcome == outcomes.Outcome.NOT_RUN:
        return True
    return work.repeatable and result.outcome == outcomes.Outcome.UNKNOWN
