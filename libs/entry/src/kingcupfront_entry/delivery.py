"""Delivers a generation to its caller, with restarts on other engines."""

from collections.abc import Iterator
import contextlib
import dataclasses
import functools
import logging
import typing

import gevent

from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_entry import meter
from kingcupfront_entry import state
from kingcupfront_route import errors as route_errors
from kingcupfront_route import placement as placements
from kingcupfront_route import routing_request
from kingcupfront_stream import engine
from kingcupfront_stream import errors
from kingcupfront_stream import handle
from kingcupfront_stream import relay
from kingcupfront_stream import sse

LOG = logging.getLogger(__name__)
MAX_ATTEMPTS = 4
RECONNECT_GRACE_SECONDS = 30.0
NOT_RUN_STATUSES = frozenset({429, 503})


@dataclasses.dataclass(frozen=True)
class GenerationRequest:
    """A caller's request for a generation.

    :param path: the path of the API.
    :param body: the request body for the engine.
    :param restart_when_lost: whether a lost generation may be restarted from
        its first token, which voids the tokens that were delivered.
    :param keep_when_caller_leaves: whether the generation goes on for
        :data:`RECONNECT_GRACE_SECONDS` after the caller disconnected.
    :param first_token_seconds: the limit on the time to first token.
    """

    path: str
    body: bytes
    restart_when_lost: bool = False
    keep_when_caller_leaves: bool = False
    first_token_seconds: float = 30.0


class EventBatch(typing.NamedTuple):
    """Events that are sent to the caller together.

    :param signed_handle: the signed resume handle, which begins the event ids.
    :param events: the events; empty while the engine sends nothing.
    :param voided_tokens: the number of delivered tokens that a restart makes
        void; None if the batch does not announce a restart.
    """

    signed_handle: bytes
    events: list[sse.Event]
    voided_tokens: int | None = None


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """The objects that all deliveries of a process use.

    :param process: the state of the process.
    :param client: the client for engines.
    :param handles: signs resume handles.
    :param meter: records measurements of streams.
    """

    process: state.State
    client: engine.EngineClient
    handles: handle.Handles
    meter: meter.StreamMeter


class Delivery:
    """One generation for one caller, over one or several attempts.

    :param dependencies: the objects that all deliveries use.
    :param placement_request: what the router needs to choose a target.
    :param request: the caller's request.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        placement_request: routing_request.RoutingRequest,
        request: GenerationRequest,
    ) -> None:
        self._dependencies = dependencies
        self._placement_request = placement_request
        self._request = request
        self._clock = dependencies.process.clock
        self._started_at = self._clock.monotonic()
        self._excluded: frozenset[str] = frozenset()
        self._attempts = 0
        self._may_have_run = False
        self._is_sent = False
        self._refusal: errors.RefusedError | None = None
        self.target = ''

    def may_have_run(self) -> bool:
        """Return whether an engine may have run the generation."""
        return self._may_have_run or self._is_sent

    def event_batches(self) -> Iterator[EventBatch]:
        """Yield batches of events until the generation ends.

        :raises KingcupfrontError: if the generation cannot be completed; the
            error tells whether an engine may have run it.
        """
        while True:
            try:
                yield from self._run_attempt()
                return
            except route_errors.RoutingError as error:
                self._give_up(self._refusal or error)
            except (errors.EngineError, errors.LostError) as error:
                voided_tokens = self._prepare_restart(error)
                LOG.info(
                    'generation_started_over',
                    extra={
                        'request': self._placement_request.id,
                        'target': self.target,
                        'reason': str(error),
                        'voided': voided_tokens,
                    },
                )
                self._dependencies.meter.count_restart(error.code)
                self._back_off(error)
            if voided_tokens:
                yield EventBatch(b'', [], voided_tokens)

    def _back_off(self, error: core_errors.KingcupfrontError) -> None:
        """Wait before the next attempt; give up if the retry budget is spent.

        :param error: why the last attempt failed.
        """
        delay = self._dependencies.process.router.acquire_retry(
            self._placement_request.service, self._attempts - 1
        )
        if delay is None:
            self._give_up(error)
        gevent.sleep(delay)

    def _prepare_restart(self, error: core_errors.KingcupfrontError) -> int:
        """Return the number of tokens that a restart voids, or raise.

        :param error: why the last attempt failed.
        :raises KingcupfrontError: if the generation must not be restarted.
        """
        self._is_sent = False
        voided_tokens = getattr(error, 'delivered', 0)
        if isinstance(error, errors.RefusedError):
            if not error.busy:
                raise RejectedError(error) from error
            self._refusal = error
            self._may_have_run |= error.status not in NOT_RUN_STATUSES
        else:
            self._may_have_run |= getattr(error, 'sent', True)
        is_late = self._clock.monotonic() > self._deadline
        if voided_tokens:
            is_late = False
        if self._attempts >= MAX_ATTEMPTS or is_late:
            self._give_up(error)
        if voided_tokens and not self._request.restart_when_lost:
            raise error
        self._excluded |= {self.target}
        if voided_tokens:
            self._started_at = self._clock.monotonic()
        return voided_tokens

    def _give_up(
        self, error: core_errors.KingcupfrontError
    ) -> typing.NoReturn:
        if isinstance(error, errors.LostError) or not self._may_have_run:
            raise error
        raise errors.LostError(0, str(error)) from error

    @property
    def _deadline(self) -> float:
        return self._started_at + self._request.first_token_seconds

    def _run_attempt(self) -> Iterator[EventBatch]:
        generation = self._placement_request.id
        if self._attempts:
            generation = f'{generation}-{self._attempts}'
        self._attempts += 1
        attempt_request = dataclasses.replace(
            self._placement_request, deadline=self._deadline
        )
        with self._dependencies.process.router.place(
            attempt_request, self._excluded
        ) as placement:
            self.target = placement.target.id
            self._is_sent = True
            engine_relay = relay.Relay(
                self._dependencies.client,
                placement.target.address,
                generation,
                deadline=self._deadline,
                system_clock=self._clock,
            )
            arrivals = engine_relay.start(
                self._request.path,
                self._request.body,
                self._placement_request.prefix,
            )
            try:
                yield from self._relay_events(
                    engine_relay, arrivals, placement
                )
            except core_errors.KingcupfrontError as error:
                placement.outcome = _target_outcome(error)
                raise
            placement.outcome = outcomes.Outcome.DONE

    def _relay_events(
        self,
        engine_relay: relay.Relay,
        arrivals: Iterator[list[sse.Event]],
        placement: placements.Placement,
    ) -> Iterator[EventBatch]:
        stream_meter = self._dependencies.meter
        resume_handle = handle.Handle(
            placement.target.address,
            engine_relay.generation,
            b'',
            self._placement_request.team,
        )
        signed_handle = b''
        with cleanup_after(
            self._dependencies,
            engine_relay,
            arrivals,
            self._request.keep_when_caller_leaves,
        ):
            for events in arrivals:
                if events:
                    if not signed_handle:
                        signed_handle = self._dependencies.handles.write(
                            dataclasses.replace(
                                resume_handle, run=engine_relay.run
                            )
                        )
                        now = self._clock.monotonic()
                        stream_meter.record_first_token(now - self._started_at)
                    else:
                        stream_meter.record_gap(engine_relay.gap)
                    placement.add_tokens(
                        engine_relay.delivered - placement.tokens
                    )
                yield EventBatch(signed_handle, events)


def _target_outcome(
    error: core_errors.KingcupfrontError,
) -> outcomes.Outcome | None:
    """Return the outcome to record for the target.

    A target that rejected an invalid request gets none.
    """
    if isinstance(error, errors.RefusedError):
        return outcomes.Outcome.NOT_RUN if error.busy else None
    if isinstance(error, errors.LostError):
        return outcomes.Outcome.LOST
    if getattr(error, 'sent', True):
        return outcomes.Outcome.UNKNOWN
    return outcomes.Outcome.NOT_RUN


class RejectedError(core_errors.BadInputError):
    """A request that the engine rejected as invalid.

    :param refusal: the answer of the engine.
    """

    code = 'engine_rejected'

    def __init__(self, refusal: errors.RefusedError) -> None:
        super().__init__(refusal.body.decode(errors='replace'))


@contextlib.contextmanager
def cleanup_after(
    dependencies: Dependencies,
    engine_relay: relay.Relay,
    arrivals: typing.Any,
    keep_when_caller_leaves: bool,
) -> Iterator[None]:
    """Cancel the generation if the block fails, and record its measurements.

    :param dependencies: the objects that all deliveries use.
    :param engine_relay: the relay of the engine's events.
    :param arrivals: the running generator of the relay; closed if the caller
        disconnects.
    :param keep_when_caller_leaves: whether to cancel only after
        :data:`RECONNECT_GRACE_SECONDS` when the caller disconnects, so that
        it can resume the stream.
    """
    delivered_before = engine_relay.delivered
    cancel = functools.partial(_cancel, dependencies.client, engine_relay)
    try:
        yield
    except GeneratorExit:
        arrivals.close()
        dependencies.meter.count_caller_left()
        LOG.info(
            'caller_left',
            extra={
                'generation': engine_relay.generation,
                'delivered': engine_relay.delivered,
                'kept': keep_when_caller_leaves,
            },
        )
        if keep_when_caller_leaves:
            gevent.spawn_later(RECONNECT_GRACE_SECONDS, cancel)
        else:
            gevent.spawn(cancel)
        raise
    except (errors.LostError, errors.EngineError) as error:
        if getattr(error, 'sent', True):
            gevent.spawn(cancel)
        raise
    finally:
        dependencies.meter.record_end(
            engine_relay.delivered - delivered_before, engine_relay.resumes
        )


def _cancel(client: engine.EngineClient, engine_relay: relay.Relay) -> None:
    try:
        client.cancel(
            engine_relay.target, engine_relay.generation, engine_relay.reader
        )
    except errors.EngineError as error:
        LOG.debug('cancel_failed', extra={'reason': str(error)})
