"""Migrates a running generation away from an engine that leaves.

The KV cache is pre-copied while the generation keeps running. Then the
generation is stopped, the rest is copied, and it continues on the other
engine.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import logging

import gevent
from gevent import event

from kingcupfront_decisions import software_versions
from kingcupfront_gateway import adapter
from kingcupfront_gateway import backups
from kingcupfront_gateway import candidates
from kingcupfront_gateway import engine_load
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import json_calls
from kingcupfront_gateway import reports
from kingcupfront_gateway import stream_end
from kingcupfront_gateway import target_signs
from kingcupfront_gateway import targets
from kingcupfront_gateway import upstream

LOG = logging.getLogger(__name__)

# Long, because copies queue on the links of both engines.
COPY_TIMEOUT_SECONDS = 3.0
# How long to wait for the result once a stream has ended by itself.
STREAM_END_WAIT_SECONDS = 1.0
# After a notice all generations of an engine are pre-copied at once. The
# platform's shortest notice is two seconds.
PRE_COPY_SECONDS = 1.0
# Generations that end between two rounds free KV cache.
ROUND_INTERVAL_SECONDS = 0.1
# The most engines that are tried in a round.
MAX_DESTINATIONS = 3
# The age limit of the reports by which a destination is chosen.
REPORT_MAX_AGE_SECONDS = 0.5
# The number of refusals after which the migration is given up.
MAX_REFUSALS = 40


@dataclasses.dataclass(frozen=True)
class MigrationResult:
    """Where a stopped generation can continue.

    :param state: the engine that is to continue it.
    :param copy: the copy of its KV cache.
    :param source: the engine that was left, which keeps its KV cache too.
    """

    state: targets.TargetState
    copy: adapter.CacheCopy
    source: targets.TargetState


class Migration:
    """Migrates one generation in a task of its own.

    :param process: the shared state of the process.
    :param request_id: the id of the request.
    :param admitted: the admission of the request.
    :param source: the engine that leaves.
    :param generation: the generation as the source's load counts it.
    :param backup: the engine that keeps a backup already, or None.
    """

    def __init__(
        self,
        process: gateway.Gateway,
        request_id: str,
        admitted: gateway.Admission,
        source: targets.TargetState,
        generation: engine_load.TrackedGeneration,
        backup: targets.TargetState | None,
    ) -> None:
        self._process = process
        self._request_id = request_id
        self._admitted = admitted
        self._source = source
        self._generation = generation
        self._backup = backup
        # What is known of the run at the source.
        self.run_state = stream_end.RunState.RUNNING
        # Whether it has left the generation to the backup.
        self.relied_on_backup = False
        self._refusals = 0
        self._started_at = process.clock.monotonic()
        self._outcome = event.AsyncResult()
        self._task = gevent.spawn(self._migrate)

    def result(self, timeout: float) -> MigrationResult | None:
        """Wait for the end of the migration.

        :returns: where the generation can continue, or None if it has not
            been migrated in time.
        """
        with contextlib.suppress(gevent.Timeout):
            return self._outcome.get(timeout=timeout)
        return None

    def wait_for_stop(self) -> None:
        """Wait for the answer if the engine was asked to stop the run."""
        if self.run_state is stream_end.RunState.MAYBE_STOPPED:
            self.result(COPY_TIMEOUT_SECONDS)

    @property
    def end_wait_seconds(self) -> float:
        """How long to wait for the result once the stream has ended.

        A run that this migration has stopped cannot go on in any other way.
        """
        if self.run_state is stream_end.RunState.RUNNING:
            return STREAM_END_WAIT_SECONDS
        return COPY_TIMEOUT_SECONDS

    @property
    def has_failed(self) -> bool:
        """Whether the migration has ended without a result."""
        return self._outcome.ready() and self._outcome.value is None

    @property
    def is_stopping_run(self) -> bool:
        """Whether the engine was asked to stop the run and may yet answer."""
        return (
            self.run_state is stream_end.RunState.MAYBE_STOPPED
            and not self._outcome.ready()
        )

    @property
    def has_succeeded(self) -> bool:
        """Whether the generation can continue from the migrated copy."""
        return self._outcome.ready() and self._outcome.value is not None

    def cancel(self) -> None:
        """Cancel the migration."""
        self._task.kill(block=False)

    def _migrate(self) -> None:
        migrated = None
        try:
            if self._backup is not None and backups.is_complete(
                self._process, self._request_id, self._backup, self._generation
            ):
                self.relied_on_backup = True
                return
            while migrated is None and self._refusals < MAX_REFUSALS:
                migrated = self._try_destinations()
                if migrated is None:
                    gevent.sleep(ROUND_INTERVAL_SECONDS)
        except errors.GatewayError as error:
            self._log('move_failed', None, error.code, str(error))
        finally:
            self._outcome.set(migrated)

    def _try_destinations(self) -> MigrationResult | None:
        """Try the best destinations in turn."""
        for state in self._destinations():
            migrated = self._transfer_to(state)
            if migrated is not None or self._refusals >= MAX_REFUSALS:
                return migrated
        return None

    def _destinations(self) -> list[targets.TargetState]:
        process, source = self._process, self._source
        neighbours = reports.nearby_engines(
            process,
            self._admitted,
            source,
            REPORT_MAX_AGE_SECONDS,
            in_region=True,
        )
        ranked = process.placement.rank_copy_destinations(
            neighbours, self._generation.memory_tokens, source.target
        )
        return ranked[:MAX_DESTINATIONS]

    def _transfer_to(
        self, state: targets.TargetState
    ) -> MigrationResult | None:
        """Pre-copy, then stop the generation and copy the rest."""
        if self._refusals == 0:
            self._log(
                'move_started',
                state,
                state.target.zone,
                self._generation.memory_tokens,
            )
        with state.load.track(self._request_id, self._generation.as_copy()):
            for is_last in (False, True):
                if is_last:
                    self._wait_for_other_copies()
                    if not self._process.may_pause_streams:
                        self._give_up(state)
                        return None
                    if not self._has_told_start(state):
                        return None
                if not self._may_carry_on(state):
                    self._log('move_refused', state, 'forbidden', is_last)
                    return None
                transfer = self._transfer(state, is_last)
                if transfer.handle is None:
                    self._refusals += 1
                    if transfer.run_has_ended:
                        # No other destination would get it.
                        self._refusals = MAX_REFUSALS
                    if self._refusals in (1, MAX_REFUSALS):
                        self._log(
                            'move_refused', state, transfer.cause, is_last
                        )
                    return None
        # If the destination refuses the last part, the source keeps the copy.
        holder = state if transfer.is_at_destination else self._source
        self._log('moved', holder, transfer.cause, True)
        return MigrationResult(
            holder,
            adapter.CacheCopy(self._source.target.address, transfer.handle),
            self._source,
        )

    def _has_told_start(self, state: targets.TargetState) -> bool:
        """Ask a destination for its start while the run goes on.

        It may have started again, with other software, since it was chosen.

        :returns: whether it has answered; another start is leaving then.
        """
        try:
            reports.confirm_start(self._process, state)
        except errors.TargetError as error:
            self._refusals += 1
            self._log('move_refused', state, error.code, str(error))
            return False
        return True

    def _may_carry_on(self, state: targets.TargetState) -> bool:
        begun = software_versions.Begun(self._source.software_version)
        return (
            candidates.may_carry_on(begun, state)
            and candidates.may_reach(self._process, self._admitted, state)
            and state.accepts_work(self._process.clock.monotonic())
        )

    def _give_up(self, state: targets.TargetState) -> None:
        """Let the run end where it is, as the process exits soon."""
        self._refusals = MAX_REFUSALS
        self._log('move_refused', state, 'stopping', True)

    def _transfer(
        self, state: targets.TargetState, is_last: bool
    ) -> adapter.CacheTransfer:
        """Copy on a connection of its own.

        Responses name no request, so on a connection in use again a repeated
        response could name the copy of another generation, or claim that this
        one has been stopped.
        """
        process = self._process
        target_signs.raise_if_silenced(self._source, process.clock.monotonic())
        connection = json_calls.JsonConnection(
            self._source.target.address,
            self._apply_signs,
            buffers=process.reply_buffers,
            max_bytes=json_calls.MAX_TARGET_RESPONSE_BYTES,
        )
        with (
            contextlib.closing(connection),
            self._following_run(is_last) as note_transfer,
        ):
            transfer = process.platform.transfer_cache(
                connection,
                self._request_id,
                state.target,
                is_last=is_last,
                timeout=COPY_TIMEOUT_SECONDS,
            )
            note_transfer(transfer)
        return transfer

    @contextlib.contextmanager
    def _following_run(
        self, is_last: bool
    ) -> Iterator[Callable[[adapter.CacheTransfer], None]]:
        """Keep the state of the run while a call is made in the block.

        :param is_last: whether the call asks the engine to stop the run.
        :returns: a function that is called with the engine's answer.
        """
        previous = self.run_state
        if is_last:
            self.run_state = stream_end.RunState.MAYBE_STOPPED

        def note(transfer: adapter.CacheTransfer) -> None:
            self.run_state = stream_end.state_after_transfer(
                previous, transfer, is_last=is_last
            )

        try:
            yield note
        except errors.TargetError as error:
            if not error.may_have_run:
                self.run_state = previous
            raise

    def _apply_signs(self, head: upstream.ReplyHead) -> None:
        reply = self._process.platform.read_reply(head.status, head.headers)
        target_signs.apply(
            self._process, self._source, reply, self._request_id
        )

    def _wait_for_other_copies(self) -> None:
        """Wait until other generations have been pre-copied.

        A generation that is stopped earlier pauses until all their transfers
        on the same links are done.
        """
        elapsed = self._process.clock.monotonic() - self._started_at
        gevent.sleep(max(0.0, PRE_COPY_SECONDS - elapsed))

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
