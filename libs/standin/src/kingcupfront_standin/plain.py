"""A stand-in for a plain service that records what it ran."""

import dataclasses
import json
import typing

import bottle
import gevent


@dataclasses.dataclass
class Faults:
    """Faults that a test can switch on.

    :param refuse: answer 503 without running.
    :param delay_seconds: how long a call takes, in seconds.
    :param die: run the call, then drop the connection.
    """

    refuse: bool = False
    delay_seconds: float = 0.0
    die: bool = False


class PlainService:
    """Runs each call once per arrival and remembers them all."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.executions: list[dict[str, typing.Any]] = []
        self.app = bottle.Bottle()
        self.app.post('/faults', callback=self._set_faults)
        self.app.get('/executions', callback=self._executions)
        self.app.route(
            '/<path:path>',
            method=['GET', 'POST', 'PUT', 'PATCH', 'DELETE'],
            callback=self._run,
        )

    def _run(self, path: str) -> typing.Any:
        if self.faults.refuse:
            bottle.response.status = 503
            return {'error': 'refused'}
        body = bottle.request.body.read().decode(errors='replace')
        self.executions.append(
            {'method': bottle.request.method, 'path': path, 'body': body}
        )
        gevent.sleep(self.faults.delay_seconds)
        if self.faults.die:
            raise ConnectionAbortedError('die')
        return {'ran': len(self.executions), 'path': path, 'body': body}

    def _set_faults(self) -> typing.Any:
        fresh = json.load(bottle.request.body)
        self.faults = dataclasses.replace(self.faults, **fresh)
        return dataclasses.asdict(self.faults)

    def _executions(self) -> typing.Any:
        return {'executions': self.executions}
