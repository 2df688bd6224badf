"""A stand-in for a model engine, with numbered and resumable events."""

from collections.abc import Iterator
import dataclasses
import itertools
import json
import secrets
import typing

import bottle
import gevent

from kingcupfront_standin import faults
from kingcupfront_standin import generation
from kingcupfront_standin import orders
from kingcupfront_standin import prefix_cache

TOTAL_BLOCKS = 1000
BLOCK_TOKENS = 16
KEPT_SECONDS = 60.0
STALL_SECONDS = 3600.0
POLL_SECONDS = 1.0

Faults = faults.Faults
Generation = generation.Generation


class Engine:
    """Generates numbered words at a steady pace.

    :param model: the model's name.
    """

    def __init__(self, model: str = 'assistant') -> None:
        self.model = model
        self.faults = faults.Faults()
        self.generations_by_id: dict[str, generation.Generation] = {}
        self.executions: list[str] = []
        self.bodies: list[dict[str, typing.Any]] = []
        self._reports = itertools.count(1)
        self._cache = prefix_cache.PrefixCache(lambda: self.faults)
        self.app = bottle.Bottle()
        self._cache.mount(self.app)
        self.app.post('/v1/chat/completions', callback=self._complete)
        self.app.post('/v1/completions', callback=self._complete)
        self.app.get('/v1/generations/<id>/events', callback=self._resume)
        self.app.delete('/v1/generations/<id>', callback=self._cancel)
        self.app.get('/v1/load', callback=self._load)
        orders.Orders(f'{model}-model', self._busy).mount(self.app)
        self.app.post('/faults', callback=self._set_faults)
        self.app.post('/reset', callback=self._reset)
        self.app.get('/executions', callback=self._executions)
        self.app.get('/generations', callback=self._generations)

    def _complete(self) -> typing.Any:
        if self.faults.refuse:
            return _error(503, 'full')
        if self.faults.bad_request:
            return _error(400, 'the context is too long')
        body = json.load(bottle.request.body)
        item = generation.Generation.from_request(
            bottle.request.headers.get('X-Request-Id') or secrets.token_hex(8),
            body,
        )
        self.generations_by_id[item.id] = item
        self.executions.append(item.id)
        self.bodies.append(body)
        names = bottle.request.headers.get('X-Prefix') or ''
        self._cache.use([name for name in names.split(',') if name])
        gevent.spawn(self._generate, item)
        return self._answer(item, 0)

    def _answer(
        self, item: generation.Generation, after: int
    ) -> Iterator[bytes]:
        bottle.response.content_type = 'text/event-stream'
        bottle.response.set_header('X-Request-Id', item.id)
        bottle.response.set_header('X-Run-Id', item.run)
        item.last_reader += 1
        bottle.response.set_header('X-Reader', str(item.last_reader))
        return self._events(item, after)

    def _generate(self, item: generation.Generation) -> None:
        while not item.ended:
            gevent.sleep(self.faults.token_seconds)
            if self.faults.held:
                continue
            number = len(item.tokens) + 1
            if self.faults.strikes('pause_after', number):
                gevent.sleep(self.faults.pause_seconds)
            item.tokens.append(f'{item.id[:6]}-{number} ')
            item.grown.set()
            item.grown.clear()
        gevent.sleep(KEPT_SECONDS)
        if self.generations_by_id.get(item.id) is item:
            del self.generations_by_id[item.id]

    def _events(
        self, item: generation.Generation, after: int
    ) -> Iterator[bytes]:
        item.readers += 1
        try:
            if self.faults.silent_connections:
                self.faults.silent_connections -= 1
                gevent.sleep(STALL_SECONDS)
            yield b': begun\n\n'
            yield from self._numbered(item, after)
        finally:
            item.readers -= 1

    def _numbered(
        self, item: generation.Generation, after: int
    ) -> Iterator[bytes]:
        sent = after
        while not item.cancelled:
            while sent < item.available:
                sent += 1
                if self.faults.strikes('end_after', sent):
                    return
                self._fail_at(item, sent)
                yield self._rendered(item, sent)
            if sent >= item.last:
                yield item.event(sent + 1)
                return
            item.grown.wait(POLL_SECONDS)

    def _rendered(self, item: generation.Generation, number: int) -> bytes:
        if self.faults.hits('skip', number):
            return b''
        text = item.event(number)
        if self.faults.duplicate:
            return text * 2
        if self.faults.hits('cross', number):
            other = dataclasses.replace(item, run='0' * 12, id='crossed')
            return other.event(number) + text
        if self.faults.hits('late', number):
            return item.event(1) + text
        return text

    def _fail_at(self, item: generation.Generation, number: int) -> None:
        if self.faults.strikes('stall_after', number):
            gevent.sleep(STALL_SECONDS)
        if self.faults.strikes('die_after', number):
            self.generations_by_id.pop(item.id, None)
            item.cancelled = True
            raise ConnectionAbortedError('die_after')
        if self.faults.strikes('restart_after', number):
            item.cancelled = True
            fresh = dataclasses.replace(
                item,
                run=secrets.token_hex(generation.RUN_BYTES),
                tokens=[],
                cancelled=False,
            )
            self.generations_by_id[item.id] = fresh
            gevent.spawn(self._generate, fresh)
            raise ConnectionAbortedError('restart_after')
        if self.faults.strikes('cut_after', number):
            raise ConnectionAbortedError('cut_after')

    def _resume(self, id: str) -> typing.Any:
        if self.faults.refuse_resume:
            self.faults.refuse_resume -= 1
            return _error(503, 'busy')
        item = self.generations_by_id.get(id)
        if item is None or item.cancelled:
            return _error(404, 'unknown generation')
        named = bottle.request.headers.get('Last-Event-ID') or '0'
        run, _, number = named.rpartition('.')
        if run and run != item.run:
            return _error(409, 'another run')
        return self._answer(item, int(number))

    def _cancel(self, id: str) -> typing.Any:
        item = self.generations_by_id.get(id)
        last = bottle.request.query.get('last_reader')
        if item is None or last not in (None, str(item.last_reader)):
            return {'cancelled': False}
        item.cancelled = True
        item.grown.set()
        return {'cancelled': True}

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

    def _reset(self) -> typing.Any:
        """Forget all faults, generations and records."""
        self.faults = faults.Faults()
        for item in self.generations_by_id.values():
            item.cancelled = True
        self.generations_by_id.clear()
        self.executions.clear()
        self.bodies.clear()
        return {}

    def _executions(self) -> typing.Any:
        return {'executions': self.executions}

    def _generations(self) -> typing.Any:
        return {
            'bodies': self.bodies,
            'generations': {
                item.id: {
                    'tokens': len(item.tokens),
                    'cancelled': item.cancelled,
                    'readers': item.readers,
                }
                for item in self.generations_by_id.values()
            },
        }


def _error(status: int, message: str) -> dict[str, typing.Any]:
    bottle.response.status = status
    return {'error': {'message': message, 'type': 'engine_error'}}
