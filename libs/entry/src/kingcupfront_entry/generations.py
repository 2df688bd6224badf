"""Serves model services over the OpenAI API, as streams or whole responses."""

from collections.abc import Iterator
import json
import logging
import math
import typing

import bottle

from kingcupfront_config import objects
from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_entry import accumulator
from kingcupfront_entry import completion
from kingcupfront_entry import delivery
from kingcupfront_entry import error_responses
from kingcupfront_entry import errors
from kingcupfront_entry import meter
from kingcupfront_entry import request_body
from kingcupfront_entry import requests
from kingcupfront_entry import routing
from kingcupfront_entry import state
from kingcupfront_entry import stopping
from kingcupfront_entry import teams
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

EventBatches = Iterator[delivery.EventBatch]


class CompletionsApi:
    """Serves the endpoints of the OpenAI API.

    :param process: the state of the process.
    :param client: the client for engines.
    """

    def __init__(
        self, process: state.State, client: engine.EngineClient
    ) -> None:
        self._process = process
        self._handles = handle.Handles(
            process.settings.secret_values, process.clock
        )
        self._dependencies = delivery.Dependencies(
            process, client, self._handles, meter.StreamMeter(process.metrics)
        )

    def mount(self, app: bottle.Bottle) -> None:
        """Add the routes to an application."""
        app.post('/v1/chat/completions', callback=self.complete)
        app.post('/v1/completions', callback=self.complete)
        app.get('/v1/models', callback=self.models)
        app.get('/v1/streams', callback=self.resume)

    def models(self) -> typing.Any:
        """Return the list of model services that the team may use."""
        try:
            team = self._authenticated_team()
            current = self._process.configuration
        except core_errors.KingcupfrontError as error:
            return error_responses.failure_response(
                error, outcomes.Outcome.NOT_RUN
            )
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
        _set_done_header()
        return {'object': 'list', 'data': data}

    def complete(self) -> typing.Any:
        """Return a completion, as a stream or as one response."""
        try:
            team = self._authenticated_team()
            data = request_body.read()
            request = completion.parse(data, bottle.request.path)
            service = self._authorized_service(team, request.model)
            event_batches = self._deliver(team, service, request, data)
            if request.stream:
                return _stream_response(event_batches)
            return _complete_response(event_batches)
        except core_errors.KingcupfrontError as error:
            return error_responses.failure_response(error, outcome_of(error))

    def resume(self) -> typing.Any:
        """Return the events of a stream that follow the ``Last-Event-ID``."""
        try:
            team = self._authenticated_team()
            event_id = bottle.request.headers.get('Last-Event-ID', '')
            resume_handle, last_event_number = self._handles.read(event_id)
            if resume_handle.team != team.name:
                raise errors.NotAllowedError(
                    'the stream belongs to another team'
                )
            self._process.check_time_left(math.inf)
            return _stream_response(
                self._resume_batches(resume_handle, last_event_number)
            )
        except core_errors.KingcupfrontError as error:
            return error_responses.failure_response(error, outcome_of(error))

    def _authenticated_team(self) -> objects.Team:
        return teams.authenticate(
            self._process.configuration,
            bottle.request.headers.get('Authorization', ''),
        )

    def _authorized_service(
        self, team: objects.Team, name: str
    ) -> objects.Service:
        service = teams.authorize(self._process.configuration, team, name)
        if service.type != 'model':
            raise errors.UnknownServiceError(
                f'the service {name!r} is not a model service'
            )
        return service

    def _deliver(
        self,
        team: objects.Team,
        service: objects.Service,
        request: completion.Completion,
        data: bytes,
    ) -> EventBatches:
        generation_request = self._generation_request(
            team, service, request, data
        )
        self._process.check_time_left(math.inf)
        with requests.in_progress(self._process, team.name, service.name) as (
            activity,
            summary,
        ):
            placement_request = routing_request.RoutingRequest(
                id=activity.id,
                team=team.name,
                service=service.name,
                place=self._process.settings.place,
                prompt_tokens=len(data) // BYTES_PER_TOKEN,
                max_tokens=request.max_output_tokens,
                priority=team.priority,
                prefix=routing.prefix_hashes(data),
                prefix_block_tokens=routing.PREFIX_BLOCK_BYTES
                // BYTES_PER_TOKEN,
            )
            caller_delivery = delivery.Delivery(
                self._dependencies, placement_request, generation_request
            )
            try:
                with stopping.telling_whether_run(
                    caller_delivery.may_have_run
                ):
                    yield from caller_delivery.event_batches()
                summary.outcome = outcomes.Outcome.DONE
            except core_errors.KingcupfrontError as error:
                summary.outcome = outcome_of(error)
                raise
            finally:
                summary.target = caller_delivery.target

    def _generation_request(
        self,
        team: objects.Team,
        service: objects.Service,
        request: completion.Completion,
        data: bytes,
    ) -> delivery.GenerationRequest:
        headers = bottle.request.headers
        policy = self._process.configuration.by_name('policy').get(
            service.policy or '', objects.Policy(kind='policy', name='none')
        )
        restart_when_lost = headers.get(ON_LOST_HEADER) == RESTART
        return delivery.GenerationRequest(
            path=bottle.request.path,
            body=completion.engine_body(request, data, team.priority),
            # A response that is not streamed is sent only once it is
            # complete, so a restart voids nothing that the caller has.
            restart_when_lost=restart_when_lost or not request.stream,
            keep_when_caller_leaves=headers.get(ON_LEAVE_HEADER) == KEEP,
            first_token_seconds=policy.first_token_seconds,
        )

    def _resume_batches(
        self, resume_handle: handle.Handle, last_event_number: int
    ) -> EventBatches:
        with requests.in_progress(self._process, resume_handle.team, '') as (
            _,
            summary,
        ):
            summary.target = str(resume_handle.target)
            summary.outcome = outcomes.Outcome.LOST
            signed_handle = self._handles.write(resume_handle)
            engine_relay = relay.Relay(
                self._dependencies.client,
                resume_handle.target,
                resume_handle.generation,
                run=resume_handle.run,
                delivered=last_event_number,
                system_clock=self._process.clock,
            )
            arrivals = engine_relay.resume()
            with (
                stopping.telling_whether_run(lambda: True),
                delivery.cleanup_after(
                    self._dependencies,
                    engine_relay,
                    arrivals,
                    keep_when_caller_leaves=True,
                ),
            ):
                for events in arrivals:
                    yield delivery.EventBatch(signed_handle, events)
            summary.outcome = outcomes.Outcome.DONE


def outcome_of(error: core_errors.KingcupfrontError) -> outcomes.Outcome:
    """Return the outcome of a generation that ended with an error."""
    if isinstance(error, stopping.StoppedError):
        return error.outcome
    if isinstance(error, stream_errors.LostError):
        return outcomes.Outcome.LOST
    if isinstance(error, delivery.RejectedError):
        return outcomes.Outcome.FAILED
    if isinstance(error, stream_errors.RefusedError):
        return outcomes.Outcome.NOT_RUN
    if getattr(error, 'sent', False):
        return outcomes.Outcome.UNKNOWN
    return outcomes.Outcome.NOT_RUN


def _stream_response(event_batches: EventBatches) -> Iterator[bytes]:
    first_batch = next(batch for batch in event_batches if batch.events)
    bottle.response.content_type = 'text/event-stream'
    bottle.response.set_header('Cache-Control', 'no-store')
    return _encode_stream(first_batch, event_batches)


def _encode_stream(
    first_batch: delivery.EventBatch, event_batches: EventBatches
) -> Iterator[bytes]:
    try:
        yield _encode_batch(first_batch)
        yield from map(_encode_batch, event_batches)
    except core_errors.KingcupfrontError as error:
        yield _error_event(error)
    except Exception:
        LOG.exception('unexpected_error')
        yield _error_event(
            errors.UnexpectedError('internal error; see the log of the entry')
        )
    finally:
        event_batches.close()


def _encode_batch(batch: delivery.EventBatch) -> bytes:
    if batch.voided_tokens is not None:
        return RESTART_EVENT % batch.voided_tokens
    if not batch.events:
        return SILENCE_COMMENT
    signed_handle = batch.signed_handle
    return b''.join(
        [
            DONE_EVENT
            if event.data == sequence.DONE
            else b'id: %s.%s\ndata: %s\n\n'
            % (signed_handle, event.id.rpartition(b'.')[2], event.data)
            for event in batch.events
        ]
    )


def _error_event(error: core_errors.KingcupfrontError) -> bytes:
    value = error_responses.error_body(error)
    value['error']['outcome'] = str(outcome_of(error))
    if isinstance(error, stream_errors.LostError):
        value['error']['delivered'] = error.delivered
    return b'event: error\ndata: %s\n\n' % json.dumps(value).encode()


def _complete_response(event_batches: EventBatches) -> dict[str, typing.Any]:
    collected = accumulator.CompletionAccumulator()
    for batch in event_batches:
        if batch.voided_tokens is not None:
            collected.clear()
        collected.add(batch.events)
    _set_done_header()
    return collected.as_completion()


def _set_done_header() -> None:
    bottle.response.set_header(
        error_responses.OUTCOME_HEADER, str(outcomes.Outcome.DONE)
    )
