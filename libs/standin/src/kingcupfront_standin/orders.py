"""The part of a stand-in engine that obeys orders."""

import json
import time
import typing

import bottle
import gevent

LOAD_SECONDS = 0.2


class Orders:
    """Obeys orders and keeps a record of each.

    :param model: the model that is loaded at the start.
    :param busy: returns how many generations are in progress.
    """

    def __init__(self, model: str, busy: typing.Callable[[], int]) -> None:
        self.models = {model: '1'}
        self.adapters: list[str] = []
        self.role = 'mixed'
        self.fencing = 0
        self.checks_fencing = True
        self.record: list[dict[str, typing.Any]] = []
        self._busy = busy

    def mount(self, app: bottle.Bottle) -> None:
        """Add the routes to an application."""
        app.get('/v1/state', callback=self._state)
        app.post('/v1/orders', callback=self._obey)
        app.get('/orders', callback=lambda: {'orders': self.record})
        app.post('/orders/ignore-fencing', callback=self._ignore)

    def _state(self) -> typing.Any:
        return {
            'models': self.models,
            'adapters': self.adapters,
            'role': self.role,
            'fencing': self.fencing if self.checks_fencing else 0,
        }

    def _ignore(self) -> typing.Any:
        self.checks_fencing = False
        return {}

    def _obey(self) -> typing.Any:
        item = json.load(bottle.request.body)
        old = item['fencing'] < self.fencing
        self.record.append(
            item | {'at': time.time(), 'busy': self._busy(), 'old': old}
        )
        if old and self.checks_fencing:
            bottle.response.status = 409
            return {'error': {'message': 'an old fencing number'}}
        self.fencing = max(self.fencing, item['fencing'])
        getattr(self, f'_{item["kind"]}')(item)
        return {'obeyed': item['kind']}

    def _load(self, item: dict[str, typing.Any]) -> None:
        gevent.sleep(LOAD_SECONDS)
        self.models[item['model']] = item['version']

    _version = _load

    def _unload(self, item: dict[str, typing.Any]) -> None:
        self.models.pop(item['model'], None)

    def _adapter(self, item: dict[str, typing.Any]) -> None:
        if item['adapter'] not in self.adapters:
            self.adapters.append(item['adapter'])

    def _role(self, item: dict[str, typing.Any]) -> None:
        self.role = item['role']
