"""Plans where a generation starts and where it continues after a failure."""

from collections.abc import Callable

import gevent

from kingcupfront_decisions import urgency
from kingcupfront_gateway import adapter
from kingcupfront_gateway import attempt_plan
from kingcupfront_gateway import candidates
from kingcupfront_gateway import errors
from kingcupfront_gateway import generation_context
from kingcupfront_gateway import leases
from kingcupfront_gateway import migration
from kingcupfront_gateway import objects
from kingcupfront_gateway import reservation
from kingcupfront_gateway import retry_after
from kingcupfront_gateway import retry_budget
from kingcupfront_gateway import services
from kingcupfront_gateway import targets

MAX_ATTEMPTS = 40
# The longest wait for an engine that asked for silence before a copy is used
# there. Engines drop unused copies after five seconds or more.
MAX_COPY_WAIT_SECONDS = 4.0
# The longest wait for a free engine, as a fraction of the latency objective.
CAPACITY_WAIT_FRACTION = 0.6
# If the latency objective is long, the wait leaves this time for the prefill.
FIRST_EVENT_SECONDS = 0.8


class GenerationPlanner:
    """Plans the attempts of one generation.

    :param context: the generation.
    """

    def __init__(self, context: generation_context.GenerationContext) -> None:
        self._context = context
        self._process = context.process

    def plan_fresh_start(self) -> attempt_plan.AttemptPlan:
        """Reserve an engine on which to start; wait if all are full.

        :raises RefusedError: if no engine has capacity in time, or if the
            prompt would crash it.
        """
        self._context.guard.refuse_if_blocked(is_sending=False)
        now = self._process.clock.monotonic()
        self._refuse_if_impossible(now)
        objective = self._context.route.latency_objective
        wait = max(
            CAPACITY_WAIT_FRACTION * objective, objective - FIRST_EVENT_SECONDS
        )
        until = min(now + wait, self._context.record.deadline - objective)
        self._refuse_if_silent(until)
        reserved = None
        if self._context.record.attempts < MAX_ATTEMPTS:
            reserved = reservation.reserve_engine(
                self._process,
                self._engines,
                self._context.metadata.request_id,
                self._context.memory_tokens,
                until,
                self._terms(now),
            )
        if reserved is None:
            raise self._refusal('no_room')
        with reservation.released_on_error(self._process, reserved):
            self._context.guard.refuse_if_blocked(is_sending=True)
        return attempt_plan.AttemptPlan(
            reserved.state,
            lease=reserved.lease,
            prefill_lease=reserved.prefill_lease,
        )

    def plan_restart(
        self,
        current: targets.TargetState,
        may_use: Callable[[attempt_plan.AttemptPlan], bool],
    ) -> attempt_plan.AttemptPlan | None:
        """Reserve another engine now, if one has room and a retry is left.

        :param current: the engine that runs the generation.
        :param may_use: returns whether to go on with a plan; asked before the
            retry is taken.
        """
        context, process = self._context, self._process
        now = process.clock.monotonic()
        budget = process.retry_budget_for(current.target.service)
        if not context.has_executions_left or not budget.has_left(now):
            return None
        try:
            context.guard.refuse_if_blocked(is_sending=True)
            reserved = reservation.reserve_engine(
                process,
                lambda: self._engines_beside(current),
                context.metadata.request_id,
                context.memory_tokens,
                now,
            )
        except errors.RefusedError:
            return None
        if reserved is None:
            return None
        plan = attempt_plan.AttemptPlan(
            reserved.state,
            lease=reserved.lease,
            prefill_lease=reserved.prefill_lease,
        )
        if may_use(plan) and budget.try_acquire(process.clock.monotonic()):
            return plan
        self.release(plan)
        return None

    def _engines_beside(
        self, current: targets.TargetState
    ) -> list[targets.TargetState]:
        """Return the engines but the one that runs the generation.

        Before its first event it may start again there if it is the only one.
        """
        engines = self._engines()
        others = [state for state in engines if state is not current]
        if others or self._context.progress.forwarded_tokens:
            return others
        return engines

    def release(self, plan: attempt_plan.AttemptPlan) -> None:
        """Release what a plan has reserved, without waiting for it."""
        plan.release_prefill_lease()
        if plan.lease is not None:
            gevent.spawn(leases.release, self._process, plan.state, plan.lease)

    def _terms(self, now: float) -> reservation.Terms:
        context = self._context
        admitted, record = context.admitted, context.record
        rank = admitted.rank
        service = context.route.shares[0].service
        demand = self._process.demand
        demand.record(service, rank, context.memory_tokens, now)
        objective = context.route.latency_objective
        return reservation.Terms(
            service,
            urgency.Urgency(
                rank,
                record.arrived_at + objective,
                record.deadline,
                objective,
                record.arrived_at,
            ),
            candidates.permitted_regions(self._process, admitted),
        )

    def _refuse_if_impossible(self, now: float) -> None:
        seconds_left = self._context.record.seconds_left(now)
        candidates.refuse_if_impossible(
            self._process, self._context.admitted, seconds_left
        )
        self._refuse_if_stranded()
        has_estimate = self._context.metadata.length_hint is not None
        if has_estimate and not urgency.can_finish(
            self._context.expected_output_tokens, seconds_left
        ):
            raise errors.RefusedError(503, 'no_time_left')

    def _refuse_if_stranded(self) -> None:
        """Refuse at once if no target left has the stream's software."""
        begun = self._context.begun
        if begun is None:
            return
        services = {share.service for share in self._context.route.shares}
        if any(
            state.target.service in services
            and not state.is_leaving
            and candidates.may_carry_on(begun, state)
            for state in self._process.targets.by_id.values()
        ):
            return
        self._process.stranded_streams.inc(
            (self._context.route.shares[0].service,)
        )
        raise errors.RefusedError(503, 'software_version_gone')

    def _refuse_if_silent(self, until: float) -> None:
        """Refuse at once if all engines asked for silence for too long."""
        process = self._process
        now = process.clock.monotonic()
        waits = [
            candidates.first_return(
                process, self._context.admitted, share.service, now
            )
            for share in self._context.route.shares
        ]
        are_all_silent = all(wait is not None for wait in waits)
        if are_all_silent and now + min(waits) > until:
            raise retry_after.silence_refusal(
                min(waits), self._context.record.seconds_left(now), process.rng
            )

    def plan_next_attempt(
        self, plan: attempt_plan.AttemptPlan, failure: errors.TargetError
    ) -> attempt_plan.AttemptPlan:
        """Return how the generation continues after a failed attempt.

        :raises RefusedError: if no engine or retry budget is left.
        :raises TargetError: if the generation cannot continue.
        """
        self._context.guard.refuse_if_blocked(is_sending=True)
        clock = self._process.clock
        budget = self._process.retry_budget_for(plan.state.target.service)
        can_repeat = not (
            failure.may_have_run
            or isinstance(
                failure, (errors.SilencedError, errors.ForbiddenTargetError)
            )
        )
        if plan.copy is not None and isinstance(failure, errors.SilencedError):
            wait = plan.state.silent_until - clock.monotonic()
            seconds_left = self._context.record.seconds_left(clock.monotonic())
            if wait < min(MAX_COPY_WAIT_SECONDS, seconds_left):
                gevent.sleep(max(0.0, wait))
                return plan
        next_plan = self._replan_from_copy(plan, failure, can_repeat, budget)
        if next_plan is not None:
            gevent.sleep(next_plan.backoff_seconds)
            return next_plan
        from_copy = self._plan_from_copy(failure)
        if from_copy is not None:
            budget.record_retry(clock.monotonic())
            return from_copy
        self._refuse_if_starts_unknown(failure)
        if not self._context.record.possible_executions:
            return self._replan_fresh_start(failure, budget)
        if not self._context.has_executions_left or not budget.try_acquire(
            clock.monotonic()
        ):
            raise failure
        return self.plan_fresh_start()

    def _replan_from_copy(
        self,
        plan: attempt_plan.AttemptPlan,
        failure: errors.TargetError,
        can_repeat: bool,
        budget: retry_budget.RetryBudget,
    ) -> attempt_plan.AttemptPlan | None:
        """Return how to use a copy again that the engine did not use."""
        if plan.copy is None or failure.may_have_run:
            return None
        now = self._process.clock.monotonic()
        at_source = self._plan_at_source(plan)
        repeated = plan.retry() if can_repeat else None
        if isinstance(failure, errors.UnreachableError):
            # The source may leave soon.
            chosen = at_source or repeated
        elif repeated is not None and budget.try_acquire(now):
            # Each request counts against the budget that all gateways share,
            # also one that the engine refused.
            return repeated
        else:
            chosen = at_source
        if chosen is not None:
            budget.record_retry(now)
        return chosen

    def _plan_at_source(
        self, plan: attempt_plan.AttemptPlan
    ) -> attempt_plan.AttemptPlan | None:
        """Return the plan to continue at the source of a migrated copy.

        The source keeps its KV cache, so the generation is not lost if the
        destination cannot get it or may not.
        """
        at_source = plan.at_source()
        if at_source is None or not self._may_continue_at(at_source.state):
            return None
        return at_source

    def _refuse_if_starts_unknown(self, failure: errors.TargetError) -> None:
        """Refuse if no engine is left that has not been asked for its start.

        Each one is asked for as long as a report may take.
        """
        if isinstance(failure, errors.UnknownStartError) and all(
            state.target.id in self._context.tried_ids
            for state in self._engines()
        ):
            raise self._refusal('unknown_start')

    def _plan_from_copy(
        self, failure: errors.TargetError
    ) -> attempt_plan.AttemptPlan | None:
        """Return the plan that continues from a KV cache copy, if any."""
        backup, self._context.backup = self._context.backup, None
        current_migration, self._context.migration = (
            self._context.migration,
            None,
        )
        if current_migration is not None:
            migrated = current_migration.result(
                0
                if isinstance(failure, errors.LeavingError)
                else current_migration.end_wait_seconds
            )
            current_migration.cancel()
            if migrated is not None:
                plan = self._plan_migrated(migrated)
                if plan is not None:
                    return plan
        if (
            backup is None
            or backup.is_removed
            or not self._may_continue_at(backup)
        ):
            return None
        if (
            not self._context.progress.forwarded_tokens
            and not self._context.guard.may_repeat
        ):
            return None
        may_retry = (
            self._context.route.retry_mode
            is not objects.RetryMode.AT_MOST_ONCE
        )
        if may_retry and not self._context.progress.forwarded_tokens:
            # A fresh start loses nothing, and there may be no copy yet.
            return None
        copy = adapter.CacheCopy(
            backup.target.address, self._context.metadata.request_id
        )
        return attempt_plan.AttemptPlan(backup, copy)

    def _plan_migrated(
        self, migrated: migration.MigrationResult
    ) -> attempt_plan.AttemptPlan | None:
        is_at_source = migrated.state is migrated.source
        plan = attempt_plan.AttemptPlan(
            migrated.state,
            migrated.copy,
            source=None if is_at_source else migrated.source,
        )
        if self._may_continue_at(migrated.state):
            return plan
        return self._plan_at_source(plan)

    def _may_continue_at(self, state: targets.TargetState) -> bool:
        return candidates.may_carry_on(
            self._context.begun, state
        ) and candidates.may_reach(
            self._process, self._context.admitted, state
        )

    def _replan_fresh_start(
        self, failure: errors.TargetError, budget: object
    ) -> attempt_plan.AttemptPlan:
        """Return another fresh start for a request that was not executed."""
        needs_no_budget = isinstance(failure, errors.UnreachableError)
        now = self._process.clock.monotonic()
        if not needs_no_budget and not budget.try_acquire(now):
            raise self._refusal('no_repeats_left')
        return self.plan_fresh_start()

    def _refusal(self, reason: str) -> errors.RefusedError:
        seconds_left = self._context.record.seconds_left(
            self._process.clock.monotonic()
        )
        return retry_after.refusal(reason, seconds_left, self._process.rng)

    def _engines(self) -> list[targets.TargetState]:
        """Return the available engines, untried ones only if there are any.

        :raises RefusedError: if no engine may get the request any more.
        """
        now = self._process.clock.monotonic()
        self._refuse_if_impossible(now)
        service = services.choose_service(
            self._context.route, self._process.rng
        )
        engines = [
            state
            for state in candidates.for_request(
                self._process,
                self._context.admitted,
                service,
                now,
                self._context.begun,
            )
            if state.is_engine
        ]
        return [
            s for s in engines if s.target.id not in self._context.tried_ids
        ] or engines
