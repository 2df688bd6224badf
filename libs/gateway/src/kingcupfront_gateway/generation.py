"""Requests whose answer is a stream of events from an engine.

If the engine fails or leaves, the generation goes on at the engine that keeps
a copy of its memory, within the same answer to the caller.
"""

import contextlib
import logging

from kingcupfront_gateway import adapter
from kingcupfront_gateway import admission
from kingcupfront_gateway import caller
from kingcupfront_gateway import engine_load
from kingcupfront_gateway import errors
from kingcupfront_gateway import event_blocks
from kingcupfront_gateway import exchange
from kingcupfront_gateway import gateway
from kingcupfront_gateway import objects
from kingcupfront_gateway import return_times
from kingcupfront_gateway import services
from kingcupfront_gateway import targets
from kingcupfront_gateway import ticket

LOG = logging.getLogger(__name__)

MAX_SENDS = 8
# How often a stream that waits for bytes looks at its target's state.
TICK_SECONDS = 0.1
# Events follow one another within some ten milliseconds; an engine that is
# silent this long is taken as dead if the generation can go on elsewhere.
SILENCE_SECONDS = 1.0
# A first event may wait for the prompts of others.
FIRST_EVENT_PART = 1.0
# Waiting for room longer than this part of the objective is not worth it.
WAIT_PART = 0.6
# A generation shorter than this is over before a copy would help.
MIN_COPY_TOKENS = 60
SUCCESS = 200


class LeavingError(errors.TargetError):
    """The engine leaves, and the generation should go on elsewhere."""

    code = 'engine_leaving'

    def __init__(self) -> None:
        super().__init__('the engine leaves', may_have_run=True)


class Generation:
    """Serves one stream.

    :param process: the parts of the process.
    :param to: the caller.
    :param request: the caller's request.
    :param ask: what its headers say.
    :param note: times and counts of the request.
    """

    def __init__(
        self,
        process: gateway.Gateway,
        to: caller.Caller,
        request: caller.Request,
        ask: adapter.Ask,
        note: ticket.Ticket,
    ) -> None:
        self._process = process
        self._to = to
        self._request = request
        self._ask = ask
        self._note = note
        self._tried: set[str] = set()
        self._last_event = ask.after_event
        self._has_begun = False
        self._copy_state: targets.TargetState | None = None
        self._output = _expected_output(ask)
        self._produced = 0

    @property
    def has_begun(self) -> bool:
        """Whether the caller has the head of the answer."""
        return self._has_begun

    def serve(self, *, close: bool) -> None:
        """Pass on the generation until it is complete.

        :raises RefusedError: if the request has not run and will not.
        :raises TargetError: if it cannot go on.
        """
        allowed = self._admit()
        state, copy = self._place(allowed.route), None
        while True:
            try:
                self._run(state, copy, allowed, close)
                state.note_result(True, self._process.clock.monotonic())
                return
            except errors.TargetError as failure:
                self._note_failure(state, failure)
                allowed = self._admit()
                state, copy = self._next(state, allowed.route, failure)

    def _admit(self) -> gateway.Admission:
        if self._has_begun:
            return self._allowed
        self._allowed = admission.admit(
            self._process, self._request, self._ask
        )
        return self._allowed

    def _candidates(self, route: objects.Route) -> list[targets.TargetState]:
        now = self._process.clock.monotonic()
        service = services.choose(route, self._process.rng)
        known = list(self._process.targets.of_service(service, now))
        known = [s for s in known if s.load is not None]
        fresh = [s for s in known if s.target.id not in self._tried]
        return fresh or known

    @property
    def _memory(self) -> int:
        return self._ask.prompt_tokens + max(self._output, self._produced)

    def _place(self, route: objects.Route) -> targets.TargetState:
        """Return an engine with room; wait for one if need be.

        :raises RefusedError: if there is none in time.
        """
        clock = self._process.clock
        until = clock.monotonic() + WAIT_PART * route.objective
        until = min(until, self._note.deadline - route.objective)
        while True:
            if self._note.sends >= MAX_SENDS:
                break
            state = self._process.placement.choose_engine(
                self._candidates(route), self._memory
            )
            if state is not None:
                return state
            left = until - clock.monotonic()
            if left <= 0:
                break
            self._process.targets.changed.wait(left)
        raise errors.RefusedError(
            503, 'no_room', return_times.spread(True, self._process.rng)
        )

    def _next(
        self,
        state: targets.TargetState,
        route: objects.Route,
        failure: errors.TargetError,
    ) -> tuple[targets.TargetState, adapter.Copy | None]:
        """Return where the generation goes on and from which copy."""
        copy_state, self._copy_state = self._copy_state, None
        now = self._process.clock.monotonic()
        budget = self._process.budget(state.target.service)
        if not failure.may_have_run and not self._note.runs:
            free = isinstance(failure, errors.UnreachableError)
            if not free and not budget.take(now):
                raise errors.RefusedError(
                    503,
                    'no_repeats_left',
                    return_times.spread(True, self._process.rng),
                )
            return self._place(route), None
        if copy_state is not None and not copy_state.is_gone:
            budget.note_repeat(now)
            return copy_state, adapter.Copy(
                copy_state.target.address, self._ask.id
            )
        may_repeat = (
            route.repeat is not objects.Repeat.ONCE
            and self._note.runs < max(route.most_runs, 1)
        )
        if not may_repeat or not budget.take(now):
            raise failure
        try:
            return self._place(route), None
        except errors.RefusedError as error:
            # It has run, so it must not be called "not run".
            raise failure from error

    def _choose_copy(
        self, state: targets.TargetState
    ) -> targets.TargetState | None:
        if not state.load.engine.has_backups:
            return None
        if self._output - self._produced < MIN_COPY_TOKENS:
            return None
        now = self._process.clock.monotonic()
        others = [
            other
            for other in self._process.targets.of_service(
                state.target.service, now
            )
            if other is not state and other.load is not None
        ]
        return self._process.placement.choose_copy(others, self._memory)

    def _run(
        self,
        state: targets.TargetState,
        copy: adapter.Copy | None,
        allowed: gateway.Admission,
        close: bool,
    ) -> None:
        now = self._process.clock.monotonic()
        self._copy_state = self._choose_copy(state)
        left = self._note.left(now)
        self._note.start_send(state.target)
        sending = adapter.Sending(
            state.target,
            left,
            team=allowed.team and allowed.team.name,
            backup=self._copy_state and self._copy_state.target,
            copy=copy,
            after_event=self._last_event,
        )
        with contextlib.ExitStack() as stack:
            run = stack.enter_context(self._counted(state, now, False))
            if self._copy_state is not None:
                stack.enter_context(
                    self._counted(self._copy_state, now, True)
                )
            reply = stack.enter_context(
                exchange.sent(
                    self._process,
                    state,
                    self._request,
                    self._ask,
                    sending,
                    patience=left,
                )
            )
            if reply.status != SUCCESS:
                self._pass_failure(reply, close)
                return
            if not reply.facts.is_signed:
                raise errors.BrokenReplyError('a success without a signature')
            self._pass_events(reply, state, run, close)

    @contextlib.contextmanager
    def _counted(
        self, state: targets.TargetState, now: float, is_copy: bool
    ) -> engine_load.Run:
        run = engine_load.Run(
            self._ask.prompt_tokens,
            self._output,
            now,
            self._produced,
            is_copy,
        )
        runs = state.load.runs_by_id
        runs[self._ask.id] = run
        try:
            yield run
        finally:
            if runs.get(self._ask.id) is run:
                del runs[self._ask.id]
            self._process.targets.notify()

    def _pass_failure(self, reply: exchange.Reply, close: bool) -> None:
        """Pass on the engine's own failure, whole."""
        body = reply.read_body(
            self._note.left(self._process.clock.monotonic())
        )
        if self._has_begun:
            raise errors.BrokenReplyError(f'status {reply.status}')
        self._note.status = reply.status
        self._to.answer(
            reply.status,
            services.end_to_end(reply.headers),
            body,
            close=close,
        )

    def _pass_events(
        self,
        reply: exchange.Reply,
        state: targets.TargetState,
        run: engine_load.Run,
        close: bool,
    ) -> None:
        blocks = event_blocks.Blocks()
        while (data := self._read(reply, state, run)) is not None:
            passed = b''.join(
                block.data
                for block in blocks.feed(data)
                if self._is_next(block)
            )
            if passed:
                self._begin(reply, close)
                self._to.send_data(passed)
            run.produced = self._produced
        if not blocks.is_between:
            raise errors.BrokenReplyError('ended within an event')
        reply.is_whole = True
        self._begin(reply, close)
        self._to.end_stream()

    def _read(
        self,
        reply: exchange.Reply,
        state: targets.TargetState,
        run: engine_load.Run,
    ) -> bytes | None:
        """Return the next bytes; look for an engine that fails or leaves."""
        clock = self._process.clock
        start = clock.monotonic()
        while True:
            if self._produced and state.is_leaving and self._can_go_on:
                raise LeavingError
            try:
                return reply.link.read_data(TICK_SECONDS)
            except errors.SilentTargetError:
                silent = clock.monotonic() - start
                if self._gives_up(silent):
                    raise

    @property
    def _can_go_on(self) -> bool:
        """Whether the generation can go on elsewhere without a loss."""
        return self._copy_state is not None and not self._copy_state.is_gone

    def _gives_up(self, silent: float) -> bool:
        if not self._produced:
            if self._allowed.route.repeat is objects.Repeat.ONCE:
                return False
            return silent > FIRST_EVENT_PART * self._allowed.route.objective
        may_repeat = self._allowed.route.repeat is not objects.Repeat.ONCE
        return silent > SILENCE_SECONDS and (self._can_go_on or may_repeat)

    def _is_next(self, block: event_blocks.Block) -> bool:
        """Return whether a block is to be passed on.

        :raises BrokenReplyError: if an event is missing before it.
        """
        if block.id is None:
            return True
        if self._last_event is not None:
            if block.id <= self._last_event:
                return False
            if block.id != self._last_event + 1:
                raise errors.BrokenReplyError('an event is missing')
        self._last_event = block.id
        self._note.events += 1
        self._produced += self._tokens_per_event
        return True

    @property
    def _tokens_per_event(self) -> int:
        return 4

    def _begin(self, reply: exchange.Reply, close: bool) -> None:
        if self._has_begun:
            return
        self._has_begun = True
        self._note.status = reply.status
        self._to.start_stream(
            reply.status, services.end_to_end(reply.headers), close=close
        )

    def _note_failure(
        self, state: targets.TargetState, failure: errors.TargetError
    ) -> None:
        is_leaving = isinstance(failure, LeavingError)
        self._tried.add(state.target.id)
        self._note.moves += self._has_begun
        if not failure.may_have_run:
            self._note.runs -= 1
        if getattr(failure, 'misdirected', False):
            state.said_leaving = True
        if not is_leaving:
            state.note_result(False, self._process.clock.monotonic())
        LOG.info(
            'generation_interrupted',
            extra={
                'request': self._ask.id,
                'target': state.target.id,
                'cause': failure.code,
                'detail': str(failure),
                'may_have_run': failure.may_have_run,
                'last_event': self._last_event,
                'copy_at': self._copy_state
                and self._copy_state.target.id,
            },
        )


def _expected_output(ask: adapter.Ask) -> int:
    """Return the output tokens to expect, from the caller's own guess."""
    guess = ask.length_hint or engine_load.DEFAULT_OUTPUT_TOKENS
    return min(guess, ask.most_output_tokens or guess)
