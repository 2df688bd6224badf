"""Model services: streams of tokens for callers."""

from collections.abc import Iterator
import json
import typing

import bottle

from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_entry import answer
from kingcupfront_entry import errors
from kingcupfront_entry import requests
from kingcupfront_entry import state
from kingcupfront_entry import teams
from kingcupfront_route import job
from kingcupfront_stream import engine
from kingcupfront_stream import errors as stream_errors
from kingcupfront_stream import handle
from kingcupfront_stream import relay
from kingcupfront_stream import sse

MAX_BODY_BYTES = 4 * 1024 * 1024
CHARACTERS_PER_TOKEN = 4
DONE_EVENT = b'data: [DONE]\n\n'


class Generations:
    """Serves the OpenAI API.

    :param process: the process.
    :param client: the engines' client.
    """

    def __init__(
        self, process: state.State, client: engine.EngineClient
    ) -> None:
        self._process = process
        self._client = client
        self._handles = handle.Handles(process.settings.secret_values)

    def mount(self, app: bottle.Bottle) -> None:
        """Add the routes to an application."""
        app.post('/v1/chat/completions', callback=self.complete)
        app.post('/v1/completions', callback=self.complete)
        app.get('/v1/models', callback=self.models)
        app.get('/v1/streams', callback=self.resume)

    def models(self) -> typing.Any:
        """Answer the model services that the team may use."""
        try:
            current = self._process.configuration
            team = teams.authenticate(
                current, bottle.request.headers.get('Authorization', '')
            )
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
        return {'object': 'list', 'data': data}

    def complete(self) -> typing.Any:
        """Answer a completion, plain or as a stream."""
        try:
            current = self._process.configuration
            team = teams.authenticate(
                current, bottle.request.headers.get('Authorization', '')
            )
            body = _body()
            service = teams.authorize(current, team, str(body.get('model')))
            events = self._generate(team.name, service.name, body)
            first = next(events)
        except core_errors.KingcupfrontError as error:
            return answer.fail(error, _outcome(error))
        if body.get('stream'):
            bottle.response.content_type = 'text/event-stream'
            return _chain(first, events)
        try:
            return _whole(first, events)
        except core_errors.KingcupfrontError as error:
            return answer.fail(error, _outcome(error))

    def resume(self) -> typing.Any:
        """Answer the rest of a stream, after the ``Last-Event-ID``."""
        try:
            team = teams.authenticate(
                self._process.configuration,
                bottle.request.headers.get('Authorization', ''),
            )
            event_id = bottle.request.headers.get('Last-Event-ID', '')
            named, number = self._handles.read(event_id)
            if named.team != team.name:
                raise errors.NotAllowedError('the stream is not yours')
            events = self._continue(named, number)
            first = next(events)
        except core_errors.KingcupfrontError as error:
            return answer.fail(error, _outcome(error))
        bottle.response.content_type = 'text/event-stream'
        return _chain(first, events)

    def _generate(
        self, team: str, service: str, body: dict[str, typing.Any]
    ) -> Iterator[bytes]:
        path = bottle.request.path
        with requests.in_progress(self._process, team, service) as (
            activity,
            ending,
        ):
            work = self._job(activity, body)
            data = json.dumps(body | {'stream': True}).encode()
            with self._process.router.place(work) as placement:
                ending.target = placement.target.id
                signed = self._handles.write(
                    handle.Handle(placement.target.address, activity.id, team)
                )
                item = relay.Relay(
                    self._client, placement.target.address, activity.id
                )
                for event in item.start(path, data):
                    placement.add_tokens(1)
                    yield _render(signed, event)
                ending.outcome = placement.outcome = outcomes.Outcome.DONE

    def _continue(self, named: handle.Handle, number: int) -> Iterator[bytes]:
        with requests.in_progress(self._process, named.team, '') as (
            _,
            ending,
        ):
            signed = self._handles.write(named)
            item = relay.Relay(
                self._client, named.target, named.generation, number
            )
            for event in item.resume():
                yield _render(signed, event)
            ending.outcome = outcomes.Outcome.DONE

    def _job(
        self, activity: state.Activity, body: dict[str, typing.Any]
    ) -> job.Job:
        prompt = json.dumps(body.get('messages') or body.get('prompt') or '')
        limit = body.get('max_tokens')
        return job.Job(
            id=activity.id,
            team=activity.team,
            service=activity.service,
            place=self._process.settings.place,
            prompt_tokens=len(prompt) // CHARACTERS_PER_TOKEN,
            max_tokens=limit if isinstance(limit, int) else None,
        )


def _body() -> dict[str, typing.Any]:
    if bottle.request.content_length > MAX_BODY_BYTES:
        raise errors.TooLargeError('the body is too large')
    try:
        body = json.loads(bottle.request.body.read(MAX_BODY_BYTES + 1))
    except ValueError as error:
        raise core_errors.BadInputError('the body is not JSON') from error
    if not isinstance(body, dict):
        raise core_errors.BadInputError('the body is not a JSON object')
    return body


def _outcome(error: core_errors.KingcupfrontError) -> outcomes.Outcome:
    if isinstance(error, stream_errors.LostError):
        return outcomes.Outcome.LOST
    if isinstance(error, stream_errors.RefusedError) or not getattr(
        error, 'sent', False
    ):
        return outcomes.Outcome.NOT_RUN
    return outcomes.Outcome.UNKNOWN


def _render(signed: str, event: sse.Event) -> bytes:
    if event.data == engine.DONE:
        return DONE_EVENT
    return b'id: %s.%s\ndata: %s\n\n' % (signed.encode(), event.id, event.data)


def _chain(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    yield first
    try:
        yield from rest
    except core_errors.KingcupfrontError as error:
        body = answer.error_body(error)
        if isinstance(error, stream_errors.LostError):
            body['error']['delivered'] = error.delivered
        yield b'event: error\ndata: %s\n\n' % json.dumps(body).encode()


def _whole(first: bytes, rest: Iterator[bytes]) -> dict[str, typing.Any]:
    parser = sse.Parser()
    texts = []
    last: dict[str, typing.Any] = {}
    for event in parser.feed(first + b''.join(rest)):
        if event.data == engine.DONE:
            break
        last = json.loads(event.data)
        choice = last['choices'][0]
        texts.append(
            choice.get('text') or choice.get('delta', {}).get('content') or ''
        )
    text = ''.join(texts)
    choice = {
        'index': 0,
        'finish_reason': last['choices'][0]['finish_reason'],
    }
    if last['object'] == 'chat.completion.chunk':
        last['object'] = 'chat.completion'
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    last['choices'] = [choice]
    last['usage'] = {
        'prompt_tokens': 0,
        'completion_tokens': len(texts),
        'total_tokens': len(texts),
    }
    return last
