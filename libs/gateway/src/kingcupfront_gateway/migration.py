"""Moves a running generation from an engine that leaves.

The memory is copied ahead while the generation runs on; then it is stopped,
what is new is copied, and it goes on at the other engine.
"""

import contextlib
import dataclasses
import logging

import gevent
from gevent import event

from kingcupfront_gateway import adapter
from kingcupfront_gateway import engine_load
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import json_calls
from kingcupfront_gateway import reports
from kingcupfront_gateway import targets

LOG = logging.getLogger(__name__)

# Copies queue on the links of both engines.
COPY_SECONDS = 3.0
# After a notice all generations of an engine are copied ahead at once; the
# platform's shortest notice is two seconds.
COPIES_AHEAD_SECONDS = 1.0
# Between rounds: memory is freed as generations end.
ROUND_SECONDS = 0.1
# Engines that are tried in a round.
MAX_DESTINATIONS = 3
# The age of reports by which a destination is chosen.
MOVE_REPORT_SECONDS = 0.5
# Refusals after which no more engines are asked.
MAX_REFUSALS = 40


@dataclasses.dataclass(frozen=True)
class MigrationResult:
    """Where a generation that was stopped can go on."""

    state: targets.TargetState
    copy: adapter.CacheCopy


class Migration:
    """Moves one generation.

    :param process: the parts of the process.
    :param request_id: the id of the attempt.
    :param source: the engine that leaves.
    :param run: what the generation needs.
    :param backup: the engine that keeps a copy already, or None.
    """

    def __init__(
        self,
        process: gateway.Gateway,
        request_id: str,
        source: targets.TargetState,
        run: engine_load.TrackedGeneration,
        backup: targets.TargetState | None,
    ) -> None:
        self._process = process
        self._request_id = request_id
        self._source = source
        self._run = run
        self._backup = backup
        self._refusals = 0
        self._began_at = process.clock.monotonic()
        self._done = event.AsyncResult()
        self._task = gevent.spawn(self._move)

    def result(self, timeout: float) -> MigrationResult | None:
        """Wait for the end of the move.

        :returns: where the generation can go on, or None if nowhere.
        """
        with contextlib.suppress(gevent.Timeout):
            return self._done.get(timeout=timeout)
        return None

    @property
    def has_failed(self) -> bool:
        """Whether the generation could not be moved."""
        return self._done.ready() and self._done.value is None

    def cancel(self) -> None:
        """Stop moving."""
        self._task.kill(block=False)

    def _move(self) -> None:
        calls = json_calls.PooledCalls(self._process, self._source.target)
        moved = None
        try:
            if self._backup is not None and self._is_copy_held(self._backup):
                return
            while moved is None and self._refusals < MAX_REFUSALS:
                moved = self._try_destinations(calls)
                if moved is None:
                    gevent.sleep(ROUND_SECONDS)
        except errors.GatewayError as error:
            self._log('move_failed', None, error.code, str(error))
        finally:
            self._done.set(moved)

    def _try_destinations(
        self, calls: adapter.JsonClient
    ) -> MigrationResult | None:
        """Ask for a move to the best engines in turn."""
        for state in self._destinations():
            moved = self._move_to(calls, state)
            if moved is not None or self._refusals >= MAX_REFUSALS:
                return moved
        return None

    def _destinations(self) -> list[targets.TargetState]:
        process, source = self._process, self._source.target
        near = reports.near(process, source, MOVE_REPORT_SECONDS)
        ranked = process.placement.rank_copies(
            near, self._run.memory_tokens, source
        )
        return ranked[:MAX_DESTINATIONS]

    def _is_copy_held(self, backup: targets.TargetState) -> bool:
        """Ask the engine that keeps the backup how much it keeps in all."""
        calls = json_calls.PooledCalls(self._process, backup.target)
        try:
            report = self._process.platform.read_report(calls)
        except errors.GatewayError as error:
            self._log('backup_unknown', backup, error.code, str(error))
            return False
        needed = self._run.prompt_tokens + self._run.produced_tokens // 2
        self._log('backup_asked', backup, report.copy_memory, needed)
        return report.copy_memory >= needed

    def _move_to(
        self, calls: adapter.JsonClient, state: targets.TargetState
    ) -> MigrationResult | None:
        """Copy ahead, then stop and copy the rest."""
        if self._refusals == 0:
            self._log(
                'move_started',
                state,
                state.target.zone,
                self._run.memory_tokens,
            )
        with state.load.track(self._request_id, self._run.as_copy()):
            for is_last in (False, True):
                if is_last:
                    self._await_others()
                copied = self._process.platform.move(
                    calls,
                    self._request_id,
                    state.target,
                    is_last=is_last,
                    timeout=COPY_SECONDS,
                )
                if copied.handle is None:
                    self._refusals += 1
                    if self._refusals == 1:
                        self._log('move_refused', state, copied.cause, is_last)
                    return None
        # A refusal of the last part leaves the memory at the source.
        at = state if copied.is_at_destination else self._source
        self._log('moved', at, copied.cause, True)
        return MigrationResult(
            at, adapter.CacheCopy(self._source.target.address, copied.handle)
        )

    def _await_others(self) -> None:
        """Let the copies ahead of other generations go first.

        A generation that is stopped while they are under way waits for all
        of them.
        """
        passed = self._process.clock.monotonic() - self._began_at
        gevent.sleep(max(0.0, COPIES_AHEAD_SECONDS - passed))

    def _log(
        self,
        name: str,
        state: targets.TargetState | None,
        cause: object,
        detail: object,
    ) -> None:
        LOG.info(
            name,
            extra={
                'request': self._request_id,
                'source': self._source.target.id,
                'target': state.target.id if state else '',
                'cause': cause,
                'detail': detail,
            },
        )
