"""Model services: streams of tokens for callers."""

from collections.abc import Iterator
import json
import logging
import typing

import bottle

from kingcupfront_config import objects
from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_entry import answer
from kingcupfront_entry import body
from kingcupfront_entry import completion
from kingcupfront_entry import delivery
from kingcupfront_entry import errors
from kingcupfront_entry import meter
from kingcupfront_entry import requests
from kingcupfront_entry import routing
from kingcupfront_entry import state
from kingcupfront_entry import teams
from kingcupfront_entry import whole
from kingcupfront_route import routing_request
from kingcupfront_stream import engine
from kingcupfront_stream import errors as stream_errors
from kingcupfront_stream import handle
from kingcupfront_stream import relay
from kingcupfront_stream import sequence

LOG = logging.getLogger(__name__)
BYTES_PER_TOKEN = 4
DONE_EVENT = b'data: [DONE]\n\n'
SILENCE_COMMENT = b': the engine is silent\n\n'
RESTART_EVENT = b'event: restart\ndata: {"voided": %d}\n\n'
ON_LOST_HEADER = 'Kingcupfront-On-Lost'
ON_LEAVE_HEADER = 'Kingcupfront-On-Leave'
RESTART = 'restart'
KEEP = 'keep'

Pieces = Iterator[delivery.Piece]


class Generations:
    """Serves the OpenAI API.

    :param process: the process.
    :param client: the engines' client.
    """

    def __init__(
        self, process: state.State, client: engine.EngineClient
    ) -> None:
        self._process = process
        self._handles = handle.Handles(
            process.settings.secret_values, process.clock
        )
        self._tools = delivery.Tools(
            process, client, self._handles, meter.Meter(process.metrics)
        )

    def mount(self, app: bottle.Bottle) -> None:
        """Add the routes to an application."""
        app.post('/v1/chat/completions', callback=self.complete)
        app.post('/v1/completions', callback=self.complete)
        app.get('/v1/models', callback=self.models)
        app.get('/v1/streams', callback=self.resume)

    def models(self) -> typing.Any:
        """Answer the model services that the team may use."""
        try:
            team = self._team()
            current = self._process.configuration
        except core_errors.KingcupfrontError as error:
            return answer.fail(error, outcomes.Outcome.NOT_RUN)
        services = current.by_name('service')
        names = [
            n
            for n in team.services
            if n in services and services[n].type == 'model'
        ]
        data = [
            {
                'id': name,
                'object': 'model',
                'created': 0,
                'owned_by': 'kingcupfront',
            }
            for name in sorted(names)
        ]
        _report_done()
        return {'object': 'list', 'data': data}

    def complete(self) -> typing.Any:
        """Answer a completion, plain or as a stream."""
        try:
            team = self._team()
            data = body.read()
            request = completion.parse(data, bottle.request.path)
            service = self._service(team, request.model)
            pieces = self._generate(team, service, request, data)
            if request.stream:
                return _stream(pieces)
            return _gather(pieces)
        except core_errors.KingcupfrontError as error:
            return answer.fail(error, outcome_of(error))

    def resume(self) -> typing.Any:
        """Answer the rest of a stream, after the ``Last-Event-ID``."""
        try:
            team = self._team()
            event_id = bottle.request.headers.get('Last-Event-ID', '')
            named, number = self._handles.read(event_id)
            if named.team != team.name:
                raise errors.NotAllowedError('the stream is not yours')
            return _stream(self._continue(named, number))
        except core_errors.KingcupfrontError as error:
            return answer.fail(error, outcome_of(error))

    def _team(self) -> objects.Team:
        return teams.authenticate(
            self._process.configuration,
            bottle.request.headers.get('Authorization', ''),
        )

    def _service(self, team: objects.Team, name: str) -> objects.Service:
        service = teams.authorize(self._process.configuration, team, name)
        if service.type != 'model':
            raise errors.UnknownServiceError(f'no model {name!r}')
        return service

    def _generate(
        self,
        team: objects.Team,
        service: objects.Service,
        request: completion.Completion,
        data: bytes,
    ) -> Pieces:
        wish = self._wish(team, service, request, data)
        with requests.in_progress(self._process, team.name, service.name) as (
            activity,
            ending,
        ):
            work = routing_request.RoutingRequest(
                id=activity.id,
                team=team.name,
                service=service.name,
                place=self._process.settings.place,
                prompt_tokens=len(data) // BYTES_PER_TOKEN,
                max_tokens=request.limit,
                priority=team.priority,
                prefix=routing.prefix(data),
                prefix_block_tokens=routing.PREFIX_BLOCK_BYTES
                // BYTES_PER_TOKEN,
            )
            item = delivery.Delivery(self._tools, work, wish)
            try:
                yield from item.pieces()
                ending.outcome = outcomes.Outcome.DONE
            except core_errors.KingcupfrontError as error:
                ending.outcome = outcome_of(error)
                raise
            finally:
                ending.target = item.target

    def _wish(
        self,
        team: objects.Team,
        service: objects.Service,
        request: completion.Completion,
        data: bytes,
    ) -> delivery.Wish:
        headers = bottle.request.headers
        policy = self._process.configuration.by_name('policy').get(
            service.policy or '', objects.Policy(kind='policy', name='none')
        )
        restart = headers.get(ON_LOST_HEADER) == RESTART
        return delivery.Wish(
            path=bottle.request.path,
            body=completion.for_engine(request, data, team.priority),
            # Nothing of a plain answer is out before all of it is here.
            restart=restart or not request.stream,
            keep=headers.get(ON_LEAVE_HEADER) == KEEP,
            first_token_seconds=policy.first_token_seconds,
        )

    def _continue(self, named: handle.Handle, number: int) -> Pieces:
        with requests.in_progress(self._process, named.team, '') as (
            _,
            ending,
        ):
            ending.target = str(named.target)
            ending.outcome = outcomes.Outcome.LOST
            signed = self._handles.write(named)
            item = relay.Relay(
                self._tools.client,
                named.target,
                named.generation,
                run=named.run,
                delivered=number,
                system_clock=self._process.clock,
            )
            source = item.resume()
            with delivery.passing(self._tools, item, source, keep=True):
                for events in source:
                    yield delivery.Piece(signed, events)
            ending.outcome = outcomes.Outcome.DONE


def outcome_of(error: core_errors.KingcupfrontError) -> outcomes.Outcome:
    """Return the outcome that a failure stands for."""
    if isinstance(error, stream_errors.LostError):
        return outcomes.Outcome.LOST
    if isinstance(error, delivery.RejectedError):
        return outcomes.Outcome.FAILED
    if isinstance(error, stream_errors.RefusedError):
        return outcomes.Outcome.NOT_RUN
    if getattr(error, 'sent', False):
        return outcomes.Outcome.UNKNOWN
    return outcomes.Outcome.NOT_RUN


def _stream(pieces: Pieces) -> Iterator[bytes]:
    first = next(piece for piece in pieces if piece.events)
    bottle.response.content_type = 'text/event-stream'
    bottle.response.set_header('Cache-Control', 'no-store')
    return _bytes(first, pieces)


def _bytes(first: delivery.Piece, pieces: Pieces) -> Iterator[bytes]:
    try:
        yield _render(first)
        yield from map(_render, pieces)
    except core_errors.KingcupfrontError as error:
        yield _error_event(error)
    except Exception:
        LOG.exception('unexpected_error')
        yield _error_event(errors.UnexpectedError('an internal error'))
    finally:
        pieces.close()


def _render(piece: delivery.Piece) -> bytes:
    if piece.voided is not None:
        return RESTART_EVENT % piece.voided
    if not piece.events:
        return SILENCE_COMMENT
    signed = piece.signed
    return b''.join(
        [
            DONE_EVENT
            if event.data == sequence.DONE
            else b'id: %s.%s\ndata: %s\n\n'
            % (signed, event.id.rpartition(b'.')[2], event.data)
            for event in piece.events
        ]
    )


def _error_event(error: core_errors.KingcupfrontError) -> bytes:
    value = answer.error_body(error)
    value['error']['outcome'] = str(outcome_of(error))
    if isinstance(error, stream_errors.LostError):
        value['error']['delivered'] = error.delivered
    return b'event: error\ndata: %s\n\n' % json.dumps(value).encode()


def _gather(pieces: Pieces) -> dict[str, typing.Any]:
    parts = whole.Whole()
    for piece in pieces:
        if piece.voided is not None:
            parts.clear()
        parts.add(piece.events)
    _report_done()
    return parts.answer()


def _report_done() -> None:
    bottle.response.set_header(
        answer.OUTCOME_HEADER, str(outcomes.Outcome.DONE)
    )
