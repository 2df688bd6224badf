"""A stand-in for a model engine, with numbered and resumable events."""

from collections.abc import Iterator
import dataclasses
import itertools
import json
import time
import typing

import bottle
import gevent
from gevent import event

from kingcupfront_standin import orders

DEFAULT_TOKENS = 20
TOKEN_SECONDS = 0.02
TOTAL_BLOCKS = 1000
BLOCK_TOKENS = 16
KEPT_SECONDS = 60.0


@dataclasses.dataclass
class Faults:
    """Faults that a test can switch on.

    :param refuse: answer 503 to new work.
    :param stall_after: send nothing more after this many tokens.
    :param die_after: drop the connection and forget the generation then.
    :param cut_after: drop the connection then, once.
    :param duplicate: send each event twice.
    :param skip: leave out the event of this number, once.
    :param token_seconds: seconds between tokens.
    :param leaving: report that the engine will leave.
    """

    refuse: bool = False
    stall_after: int | None = None
    die_after: int | None = None
    cut_after: int | None = None
    duplicate: bool = False
    skip: int | None = None
    token_seconds: float = TOKEN_SECONDS
    leaving: bool = False


@dataclasses.dataclass
class Generation:
    """One generation and the tokens that it has so far."""

    id: str
    tokens: list[str] = dataclasses.field(default_factory=list)
    total: int = DEFAULT_TOKENS
    chat: bool = True
    model: str = ''
    cancelled: bool = False
    grown: event.Event = dataclasses.field(default_factory=event.Event)

    @property
    def ended(self) -> bool:
        """Whether no token will follow."""
        return self.cancelled or len(self.tokens) >= self.total


class Engine:
    """Generates numbered words at a steady pace.

    :param model: the model's name.
    """

    def __init__(self, model: str = 'assistant') -> None:
        self.model = model
        self.faults = Faults()
        self.generations_by_id: dict[str, Generation] = {}
        self.executions: list[str] = []
        self._reports = itertools.count(1)
        self.app = bottle.Bottle()
        self.app.post('/v1/chat/completions', callback=self._complete)
        self.app.post('/v1/completions', callback=self._complete)
        self.app.get('/v1/generations/<id>/events', callback=self._resume)
        self.app.delete('/v1/generations/<id>', callback=self._cancel)
        self.app.get('/v1/load', callback=self._load)
        orders.Orders(f'{model}-model', self._busy).mount(self.app)
        self.app.post('/faults', callback=self._set_faults)
        self.app.get('/executions', callback=self._executions)

    def _complete(self) -> typing.Any:
        if self.faults.refuse:
            bottle.response.status = 503
            return {'error': {'message': 'full', 'type': 'overloaded'}}
        body = json.load(bottle.request.body)
        generation = Generation(
            id=bottle.request.headers.get('X-Request-Id') or str(time.time()),
            total=int(body.get('max_tokens') or DEFAULT_TOKENS),
            chat='messages' in body,
            model=str(body.get('model')),
        )
        self.generations_by_id[generation.id] = generation
        self.executions.append(generation.id)
        gevent.spawn(self._generate, generation)
        bottle.response.content_type = 'text/event-stream'
        return self._events(generation, 0)

    def _generate(self, generation: Generation) -> None:
        while not generation.ended:
            gevent.sleep(self.faults.token_seconds)
            number = len(generation.tokens) + 1
            generation.tokens.append(f'{generation.id[:6]}-{number} ')
            generation.grown.set()
            generation.grown.clear()
        gevent.sleep(KEPT_SECONDS)
        self.generations_by_id.pop(generation.id, None)

    def _events(self, generation: Generation, after: int) -> Iterator[bytes]:
        sent = after
        while True:
            while sent < len(generation.tokens):
                sent += 1
                self._fail_at(generation, sent)
                if self.faults.skip == sent:
                    self.faults.skip = None
                    continue
                text = _event(generation, sent)
                yield text * 2 if self.faults.duplicate else text
            if generation.ended:
                yield b'data: [DONE]\n\n'
                return
            generation.grown.wait(1.0)

    def _fail_at(self, generation: Generation, number: int) -> None:
        faults = self.faults
        if faults.stall_after is not None and number > faults.stall_after:
            faults.stall_after = None
            gevent.sleep(3600)
        if faults.die_after is not None and number > faults.die_after:
            self.generations_by_id.pop(generation.id, None)
            generation.cancelled = True
            raise ConnectionAbortedError('die_after')
        if faults.cut_after is not None and number > faults.cut_after:
            faults.cut_after = None
            raise ConnectionAbortedError('cut_after')

    def _resume(self, id: str) -> typing.Any:
        generation = self.generations_by_id.get(id)
        if generation is None:
            bottle.response.status = 404
            return {'error': {'message': 'unknown generation'}}
        after = int(bottle.request.headers.get('Last-Event-ID') or 0)
        bottle.response.content_type = 'text/event-stream'
        return self._events(generation, after)

    def _cancel(self, id: str) -> typing.Any:
        generation = self.generations_by_id.get(id)
        if generation is not None:
            generation.cancelled = True
            generation.grown.set()
        return {'cancelled': generation is not None}

    def _load(self) -> typing.Any:
        running = [g for g in self.generations_by_id.values() if not g.ended]
        used = sum(1 + len(g.tokens) // BLOCK_TOKENS for g in running)
        return {
            'number': next(self._reports),
            'running': len(running),
            'waiting': 0,
            'free_blocks': TOTAL_BLOCKS - used,
            'total_blocks': TOTAL_BLOCKS,
            'preemptions': 0,
            'leaving': self.faults.leaving,
        }

    def _busy(self) -> int:
        return sum(not g.ended for g in self.generations_by_id.values())

    def _set_faults(self) -> typing.Any:
        fresh = json.load(bottle.request.body)
        self.faults = dataclasses.replace(self.faults, **fresh)
        return dataclasses.asdict(self.faults)

    def _executions(self) -> typing.Any:
        return {'executions': self.executions}


def _event(generation: Generation, number: int) -> bytes:
    text = generation.tokens[number - 1]
    last = number == generation.total
    choice: dict[str, typing.Any] = {
        'index': 0,
        'finish_reason': 'stop' if last else None,
    }
    kind = 'text_completion'
    if generation.chat:
        kind = 'chat.completion.chunk'
        choice['delta'] = {'content': text}
    else:
        choice['text'] = text
    data = {
        'id': generation.id,
        'object': kind,
        'created': int(time.time()),
        'model': generation.model,
        'choices': [choice],
    }
    return f'id: {number}\ndata: {json.dumps(data)}\n\n'.encode()
