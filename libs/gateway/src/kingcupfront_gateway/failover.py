"""Finds where a generation goes on before it is given up at its engine.

An engine that sends nothing for a while may be sound, and one that leaves
serves on for a while. A generation that is given up there cannot be taken up
again, so before that another engine has to have accepted it, or at least not
to have turned it away at once. One that continues from a backup has to have
sent an event of it as well: it may end or fall silent after its head.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import logging

from kingcupfront_gateway import adapter
from kingcupfront_gateway import attempt_plan
from kingcupfront_gateway import engine_load
from kingcupfront_gateway import errors
from kingcupfront_gateway import exchange
from kingcupfront_gateway import first_event
from kingcupfront_gateway import generation_context
from kingcupfront_gateway import generation_planner
from kingcupfront_gateway import request_record
from kingcupfront_gateway import run_check
from kingcupfront_gateway import targets

LOG = logging.getLogger(__name__)

HTTP_OK = 200
# Both engines may work on the generation meanwhile, which the platform allows
# for 0.4 s.
TAKEOVER_TIMEOUT_SECONDS = 0.35
# How often the current engine is asked whether it works on the generation
# while the engine of the backup is waited for.
RUN_CHECK_INTERVAL_SECONDS = 0.1
# How long an engine that is reached takes to say whether it works on a
# generation.
RUN_ANSWER_SECONDS = 0.35
# How long the engine of a backup is waited for if the generation may also
# start again.
TAKEOVER_WAIT_SECONDS = 1.0
# How long an engine that has accepted a generation may take for its first
# event if the generation can also start again.
FIRST_EVENT_SECONDS = 1.0
# The most refused takeovers to one backup. Each request that an engine rejects
# counts against the budget of retries.
MAX_TAKEOVERS = 6
FIRST_TAKEOVER_INTERVAL_SECONDS = 0.5
RESTART_INTERVAL_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class OpenAttempt:
    """An attempt whose reply has begun.

    :param plan: its plan.
    :param reply: the reply, whose body is still to be read.
    :param tracked: the generation as the engine's load counts it.
    :param backup: the engine that was named to keep a backup, or None.
    :param resources: what is released once the reply has been read.
    """

    plan: attempt_plan.AttemptPlan
    reply: exchange.Reply
    tracked: engine_load.TrackedGeneration
    backup: targets.TargetState | None
    resources: contextlib.ExitStack


class Failover:
    """Prepares the next attempt of a generation during the current one.

    :param context: the generation.
    :param planner: plans its attempts.
    :param open_attempt: sends the request by a plan and waits for the head of
        the reply; asks each time that some seconds have passed for more.
    """

    def __init__(
        self,
        context: generation_context.GenerationContext,
        planner: generation_planner.GenerationPlanner,
        open_attempt: Callable[
            [attempt_plan.AttemptPlan, float, exchange.MoreTime | None],
            OpenAttempt,
        ],
    ) -> None:
        self._context = context
        self._process = context.process
        self._planner = planner
        self._open_attempt = open_attempt
        self._opened: OpenAttempt | None = None
        self._takeovers = 0
        self._next_takeover_at = 0.0
        self._next_restart_at = 0.0
        self._plan: attempt_plan.AttemptPlan | None = None

    @property
    def plan(self) -> attempt_plan.AttemptPlan | None:
        """The plan of the attempt that was prepared, or None."""
        return self._plan

    @property
    def is_refused(self) -> bool:
        """Whether the engine of the backup has refused the generation."""
        return self._takeovers > 0

    def take(self) -> OpenAttempt | None:
        """Hand over the attempt that was prepared, if its reply has begun."""
        opened, self._opened, self._plan = self._opened, None, None
        return opened

    def close(self) -> None:
        """Release what was prepared and not used."""
        plan, opened = self._plan, self.take()
        if opened is not None:
            opened.resources.close()
        elif plan is not None:
            self._planner.release(plan)

    def take_over(
        self,
        current: targets.TargetState,
        reply: exchange.Reply,
        check: run_check.RunCheck | None = None,
        *,
        is_current_hung: bool = False,
    ) -> bool:
        """Try to continue at the engine that keeps the backup.

        A takeover that is broken off uses the backup up. So an engine whose
        first event comes late is waited for until the current one is known to
        work on the generation. A current one that is hung is given up instead.

        :param current: the engine that runs the generation.
        :param reply: its reply, whose body is being read.
        :param check: asks the current engine about the generation, and may
            have asked already; None to begin now.
        :param is_current_hung: whether the current engine has sent nothing for
            longer than a sound one does.
        :returns: whether the generation does not go on at the current engine.
        """
        backup = self._context.backup
        now = self._process.clock.monotonic()
        if (
            backup is None
            or now < self._next_takeover_at
            or self._takeovers >= MAX_TAKEOVERS
        ):
            return False
        budget = self._process.retry_budget_for(backup.target.service)
        if not self._takeovers:
            budget.record_retry(now)
        elif not budget.try_acquire(now):
            return False
        self._next_takeover_at = (
            now + FIRST_TAKEOVER_INTERVAL_SECONDS * 2**self._takeovers
        )
        self._takeovers += 1
        copy = adapter.CacheCopy(
            backup.target.address, self._context.metadata.request_id
        )
        plan = attempt_plan.AttemptPlan(backup, copy)
        if check is None:
            check = run_check.RunCheck(
                self._process, current, self._context.metadata.request_id
            )
        check.begin()
        has_given_up = False

        def more_time() -> float:
            nonlocal has_given_up
            may_give_up = (
                is_current_hung
                and not has_given_up
                and not self._may_migrate(current)
            )
            if may_give_up and (
                check.answer is run_check.RunAnswer.ENDED
                or self._is_at_work(check, reply)
            ):
                has_given_up = True
                reply.connection.close()
            return self._more_time_beside(check, reply, now, has_given_up)

        try:
            opened = self._open_if_accepted(plan, more_time, awaits_event=True)
        finally:
            check.cancel()
        if opened is None:
            # A restart prefers engines that were not tried.
            self._context.tried_ids.add(backup.target.id)
            if has_given_up and self._is_wait_over(now):
                # The copy is used up, and its engine may hang.
                self._context.backup = None
            return has_given_up
        # The next takeover is from another engine, to another backup.
        self._takeovers, self._next_takeover_at = 0, 0.0
        self._context.backup = None
        self._end_migration()
        self._opened, self._plan = opened, plan
        return True

    def _more_time_beside(
        self,
        check: run_check.RunCheck,
        reply: exchange.Reply,
        begun_at: float,
        has_given_up: bool,
    ) -> float:
        """Return for how long to wait on for the engine of the backup.

        :param check: asks the current engine.
        :param reply: the reply of the current engine.
        :param begun_at: the monotonic time at which the takeover began.
        :param has_given_up: whether the current engine has been given up.
        """
        context = self._context
        if context.migration is not None and context.migration.has_succeeded:
            return 0.0
        if self._is_wait_over(begun_at):
            return 0.0
        if not has_given_up:
            if self._is_at_work(check, reply):
                return 0.0
            check.begin()
        return min(RUN_CHECK_INTERVAL_SECONDS, self._seconds_left())

    def _may_migrate(self, current: targets.TargetState) -> bool:
        """Return whether a generation is, or is to be, migrated."""
        return self._context.migration is not None or (
            current.is_leaving and current.load.capacity.supports_migration
        )

    def _is_wait_over(self, begun_at: float) -> bool:
        """Return whether the generation had better start again.

        :param begun_at: the monotonic time at which the takeover began.
        """
        waited = self._process.clock.monotonic() - begun_at
        return waited > TAKEOVER_WAIT_SECONDS and self._may_start_again

    @property
    def _may_start_again(self) -> bool:
        """Whether an execution and a retry are left beside a takeover."""
        budget = self._process.retry_budget_for(
            self._context.backup.target.service
        )
        return self._context.has_executions_left and budget.has_left(
            self._process.clock.monotonic()
        )

    def _is_at_work(
        self, check: run_check.RunCheck, reply: exchange.Reply
    ) -> bool:
        """Return whether the current engine seems to work on the generation.

        :param check: asks it.
        :param reply: its reply.
        """
        return check.answer is run_check.RunAnswer.RUNNING or (
            check.answer is run_check.RunAnswer.NONE
            and reply.connection.has_unread_data
        )

    def _works(self, current: targets.TargetState) -> bool:
        """Return whether an engine is known to work on the generation."""
        check = run_check.RunCheck(
            self._process, current, self._context.metadata.request_id
        )
        check.begin()
        answer = check.wait(RUN_ANSWER_SECONDS)
        check.cancel()
        return answer is run_check.RunAnswer.RUNNING

    def _seconds_left(self) -> float:
        """Return how long the reply may still take, in seconds."""
        seconds_left = self._context.record.seconds_left(
            self._process.clock.monotonic()
        )
        return seconds_left + request_record.DEADLINE_SLACK_SECONDS

    def _open_if_accepted(
        self,
        plan: attempt_plan.AttemptPlan,
        more_time: exchange.MoreTime,
        *,
        awaits_event: bool = False,
    ) -> OpenAttempt | None:
        with contextlib.ExitStack() as resources:
            try:
                opened = self._open_attempt(
                    plan, TAKEOVER_TIMEOUT_SECONDS, more_time
                )
                resources.push(opened.resources)
                reply = opened.reply
                is_accepted = (
                    reply.status == HTTP_OK and reply.metadata.is_signed
                )
                if is_accepted and awaits_event:
                    self._read_first_event(reply, more_time)
            except errors.TargetError as failure:
                self._context.record.record_failure(plan.state, failure)
                self._log_refusal(plan, failure.code, str(failure))
                return None
            if is_accepted:
                resources.pop_all()
                return opened
        self._log_refusal(plan, 'error_reply', f'status {reply.status}')
        return None

    def _read_first_event(
        self, reply: exchange.Reply, more_time: exchange.MoreTime
    ) -> None:
        """Wait until an engine that has accepted the generation goes on.

        :param more_time: as for the head of its reply.
        """
        now = self._process.clock.monotonic
        latest = now() + (
            FIRST_EVENT_SECONDS
            if self._may_start_again
            else self._seconds_left()
        )
        first_event.read(
            reply,
            self._context.progress,
            TAKEOVER_TIMEOUT_SECONDS,
            lambda: min(more_time(), latest - now()),
        )

    def restart(
        self,
        current: targets.TargetState,
        give_up: Callable[[], None],
        *,
        is_current_hung: bool = False,
    ) -> bool:
        """Try to start the generation again on another engine.

        Refusals come at once, but the head of a reply may wait for the
        prefill: the current engine is given up before it arrives.

        :param current: the engine that runs the generation.
        :param give_up: closes the connection to it.
        :param is_current_hung: whether the current engine has sent nothing for
            longer than a sound one does.
        :returns: whether the generation does not go on there.
        """
        now = self._process.clock.monotonic()
        if now < self._next_restart_at:
            return False
        self._next_restart_at = now + RESTART_INTERVAL_SECONDS
        context = self._context
        if (
            context.progress.forwarded_tokens
            and context.has_executions_left
            and not is_current_hung
            and self._works(current)
        ):
            return False
        plan = self._planner.plan_restart(
            current, lambda plan: self._may_leave(current, plan)
        )
        if plan is None:
            return False
        if plan.state is current:
            # An engine does not run one generation twice at a time.
            self._end_migration()
            self._plan = plan
            return True
        has_given_up = False

        def wait_for_prefill() -> float:
            nonlocal has_given_up
            if not has_given_up:
                has_given_up = True
                give_up()
                self._context.guard.record_sent()
            return self._seconds_left()

        opened = self._open_if_accepted(plan, wait_for_prefill)
        if opened is None:
            self._context.tried_ids.add(plan.state.target.id)
            return has_given_up
        self._end_migration()
        self._opened, self._plan = opened, plan
        return True

    def _may_leave(
        self, current: targets.TargetState, plan: attempt_plan.AttemptPlan
    ) -> bool:
        """Return whether a generation may leave its engine for a restart.

        Before the first event it leaves an engine that works on it only for
        one that has granted a lease: others may turn it away, and late.
        """
        if self._context.progress.forwarded_tokens:
            return True
        has_room = plan.lease is not None and plan.state is not current
        return has_room or not self._works(current)

    def _end_migration(self) -> None:
        """End the migration from the engine that is given up."""
        self._context.cancel_migration()
        self._context.migration = None

    def _log_refusal(
        self, plan: attempt_plan.AttemptPlan, cause: str, detail: str
    ) -> None:
        LOG.info(
            'takeover_refused',
            extra={
                'request': self._context.metadata.request_id,
                'target': plan.state.target.id,
                'cause': cause,
                'detail': detail,
                'last_event': self._context.progress.last_event_id,
            },
        )
