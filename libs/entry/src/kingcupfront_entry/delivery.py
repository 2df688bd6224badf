"""Delivers one caller's generation, begun anew elsewhere if need be."""

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
MAX_STARTS = 4
GRACE_SECONDS = 30.0
UNRUN_STATUSES = frozenset({429, 503})


@dataclasses.dataclass(frozen=True)
class Wish:
    """What a caller asked for.

    :param path: the path of the API.
    :param body: the body for the engine.
    :param restart: whether a lost generation may be begun anew.
    :param keep: whether it goes on for a while after the caller left.
    :param first_token_seconds: bound on the wait for the first token.
    """

    path: str
    body: bytes
    restart: bool = False
    keep: bool = False
    first_token_seconds: float = 30.0


class Piece(typing.NamedTuple):
    """What goes to the caller together.

    :param signed: the signed part of the event ids.
    :param events: the events; empty while the engine is silent.
    :param voided: the tokens that a new generation makes void, if any.
    """

    signed: bytes
    events: list[sse.Event]
    voided: int | None = None


@dataclasses.dataclass(frozen=True)
class Tools:
    """What deliveries share.

    :param process: the process.
    :param client: the engines' client.
    :param handles: writes resume handles.
    :param meter: measures the streams.
    """

    process: state.State
    client: engine.EngineClient
    handles: handle.Handles
    meter: meter.Meter


class Delivery:
    """One request on its way through one engine or several.

    :param tools: what deliveries share.
    :param work: the job.
    :param wish: what the caller asked for.
    """

    def __init__(
        self, tools: Tools, work: routing_request.RoutingRequest, wish: Wish
    ) -> None:
        self._tools = tools
        self._work = work
        self._wish = wish
        self._clock = tools.process.clock
        self._started_at = self._clock.monotonic()
        self._excluded: frozenset[str] = frozenset()
        self._starts = 0
        self._ran = False
        self._refusal: errors.RefusedError | None = None
        self.target = ''

    def pieces(self) -> Iterator[Piece]:
        """Yield what goes to the caller, up to the end.

        :raises KingcupfrontError: if the answer cannot be whole; the
            failure tells whether it may have run.
        """
        while True:
            try:
                yield from self._start()
                return
            except route_errors.RoutingError as error:
                self._give_up(self._refusal or error)
            except (errors.EngineError, errors.LostError) as error:
                voided = self._judge(error)
                LOG.info(
                    'generation_started_over',
                    extra={
                        'request': self._work.id,
                        'target': self.target,
                        'reason': str(error),
                        'voided': voided,
                    },
                )
                self._tools.meter.started_over(error.code)
                self._pause(error)
            if voided:
                yield Piece(b'', [], voided)

    def _pause(self, error: core_errors.KingcupfrontError) -> None:
        """Wait before a new start, or give up if the retry budget is spent.

        :param error: why the last start failed.
        """
        delay = self._tools.process.router.acquire_retry(
            self._work.service, self._starts - 1
        )
        if delay is None:
            self._give_up(error)
        gevent.sleep(delay)

    def _judge(self, error: core_errors.KingcupfrontError) -> int:
        """Return the tokens that a new start makes void, or raise."""
        voided = getattr(error, 'delivered', 0)
        if isinstance(error, errors.RefusedError):
            if not error.busy:
                raise RejectedError(error) from error
            self._refusal = error
            self._ran |= error.status not in UNRUN_STATUSES
        else:
            self._ran |= getattr(error, 'sent', True)
        late = self._clock.monotonic() > self._deadline
        if voided:
            late = False
        if self._starts >= MAX_STARTS or late:
            self._give_up(error)
        if voided and not self._wish.restart:
            raise error
        self._excluded |= {self.target}
        if voided:
            self._started_at = self._clock.monotonic()
        return voided

    def _give_up(
        self, error: core_errors.KingcupfrontError
    ) -> typing.NoReturn:
        if isinstance(error, errors.LostError) or not self._ran:
            raise error
        raise errors.LostError(0, str(error)) from error

    @property
    def _deadline(self) -> float:
        return self._started_at + self._wish.first_token_seconds

    def _start(self) -> Iterator[Piece]:
        generation = self._work.id
        if self._starts:
            generation = f'{generation}-{self._starts}'
        self._starts += 1
        work = dataclasses.replace(self._work, deadline=self._deadline)
        with self._tools.process.router.place(
            work, self._excluded
        ) as placement:
            self.target = placement.target.id
            item = relay.Relay(
                self._tools.client,
                placement.target.address,
                generation,
                deadline=self._deadline,
                system_clock=self._clock,
            )
            source = item.start(
                self._wish.path, self._wish.body, self._work.prefix
            )
            try:
                yield from self._follow(item, source, placement)
            except core_errors.KingcupfrontError as error:
                placement.outcome = _blame(error)
                raise
            placement.outcome = outcomes.Outcome.DONE

    def _follow(
        self,
        item: relay.Relay,
        source: Iterator[list[sse.Event]],
        placement: placements.Placement,
    ) -> Iterator[Piece]:
        measure = self._tools.meter
        named = handle.Handle(
            placement.target.address, item.generation, b'', self._work.team
        )
        signed = b''
        with passing(self._tools, item, source, self._wish.keep):
            for events in source:
                if events:
                    if not signed:
                        signed = self._tools.handles.write(
                            dataclasses.replace(named, run=item.run)
                        )
                        now = self._clock.monotonic()
                        measure.first(now - self._started_at)
                    else:
                        measure.arrived(item.gap)
                    placement.add_tokens(item.delivered - placement.tokens)
                yield Piece(signed, events)


def _blame(error: core_errors.KingcupfrontError) -> outcomes.Outcome | None:
    """Return what the target is to blame for, if anything."""
    if isinstance(error, errors.RefusedError):
        return outcomes.Outcome.NOT_RUN if error.busy else None
    if isinstance(error, errors.LostError):
        return outcomes.Outcome.LOST
    if getattr(error, 'sent', True):
        return outcomes.Outcome.UNKNOWN
    return outcomes.Outcome.NOT_RUN


class RejectedError(core_errors.BadInputError):
    """A request that the engine found to be wrong.

    :param refusal: what the engine answered.
    """

    code = 'engine_rejected'

    def __init__(self, refusal: errors.RefusedError) -> None:
        super().__init__(refusal.body.decode(errors='replace'))


@contextlib.contextmanager
def passing(
    tools: Tools,
    item: relay.Relay,
    source: typing.Any,
    keep: bool,
) -> Iterator[None]:
    """Clean up after a generation, whichever way the block ends.

    :param tools: what deliveries share.
    :param item: the relay.
    :param source: the relay's running generator.
    :param keep: whether a caller that leaves may come back.
    """
    before = item.delivered
    cancel = functools.partial(_cancel, tools.client, item)
    try:
        yield
    except GeneratorExit:
        source.close()
        tools.meter.left()
        LOG.info(
            'caller_left',
            extra={
                'generation': item.generation,
                'delivered': item.delivered,
                'kept': keep,
            },
        )
        if keep:
            gevent.spawn_later(GRACE_SECONDS, cancel)
        else:
            gevent.spawn(cancel)
        raise
    except (errors.LostError, errors.EngineError) as error:
        if getattr(error, 'sent', True):
            gevent.spawn(cancel)
        raise
    finally:
        tools.meter.ended(item.delivered - before, item.resumes)


def _cancel(client: engine.EngineClient, item: relay.Relay) -> None:
    try:
        client.cancel(item.target, item.generation, item.reader)
    except errors.EngineError as error:
        LOG.debug('cancel_failed', extra={'reason': str(error)})
