"""A stand-in for a plain service that records what it ran."""

import dataclasses
import json
import typing

import bottle
import gevent

HOLD_POLL_SECONDS = 0.02


@dataclasses.dataclass
class Faults:
    """Faults that a test can switch on.

    :param refuse: answer 503 without running, and say so.
    :param gateway: run the call, then answer 503 as a gateway would.
    :param hold: run the call, then keep its answer until this is false.
    :param delay_seconds: how long a call takes, in seconds.
    :param die: run the call, then drop the connection in its answer.
    """

    refuse: bool = False
    gateway: bool = False
    hold: bool = False
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
            bottle.response.set_header('Kingcupfront-Outcome', 'not_run')
            return {'error': 'refused'}
        body = bottle.request.body.read().decode(errors='replace')
        self.executions.append(
            {'method': bottle.request.method, 'path': path, 'body': body}
        )
        gevent.sleep(self.faults.delay_seconds)
        while self.faults.hold:
            gevent.sleep(HOLD_POLL_SECONDS)
        if self.faults.gateway:
            bottle.response.status = 503
        if self.faults.die:
            return _cut_off()
        return {'ran': len(self.executions), 'path': path, 'body': body}

    def _set_faults(self) -> typing.Any:
        fresh = json.load(bottle.request.body)
        self.faults = dataclasses.replace(self.faults, **fresh)
        return dataclasses.asdict(self.faults)

    def _executions(self) -> typing.Any:
        return {'executions': self.executions}


def _cut_off() -> typing.Iterator[bytes]:
    yield b'{'
    raise ConnectionAbortedError('die')
