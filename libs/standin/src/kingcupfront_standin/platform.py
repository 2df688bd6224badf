"""A stand-in for the configuration service and the instance list.

It speaks the part of Consul's HTTP interface that kingcupfront reads, and
the tests write to it by ``PUT``.
"""

import base64
import dataclasses
import json
import time
import typing

import bottle
import gevent

MAX_VALUE_BYTES = 1_000_000
POLL_SECONDS = 0.02
MAX_WAIT_SECONDS = 60.0


@dataclasses.dataclass
class Faults:
    """Faults that a test can switch on.

    :param down: answer 500 to every read.
    :param delay_seconds: how late each answer is, in seconds.
    :param frozen: keep serving what was there when this was switched on.
    """

    down: bool = False
    delay_seconds: float = 0.0
    frozen: bool = False


class Platform:
    """Values and instances, each with an index that grows on change."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls = 0
        self._index = 1
        self._values: dict[str, tuple[int, bytes]] = {}
        self._instances: dict[str, dict[str, typing.Any]] = {}
        self._instances_index = 1
        self.app = bottle.Bottle()
        self.app.get('/v1/kv/<key:path>', callback=self._read)
        self.app.put('/v1/kv/<key:path>', callback=self._write)
        self.app.get('/v1/health/service/<name>', callback=self._list)
        self.app.put('/v1/agent/service/register', callback=self._register)
        self.app.put(
            '/v1/agent/service/deregister/<id>', callback=self._deregister
        )
        self.app.post('/faults', callback=self._set_faults)
        self.app.get('/calls', callback=lambda: {'calls': self.calls})

    def write(self, key: str, data: bytes) -> None:
        """Publish a value."""
        self._index += 1
        self._values[key] = (self._index, data)

    def register(self, row: dict[str, typing.Any]) -> None:
        """Add or replace an instance, in Consul's registration format."""
        self._instances_index += 1
        self._instances[row['ID']] = row

    def deregister(self, instance: str) -> None:
        """Remove an instance."""
        self._instances_index += 1
        self._instances.pop(instance, None)

    def _wait(self, current: typing.Callable[[], int]) -> None:
        self.calls += 1
        gevent.sleep(self.faults.delay_seconds)
        if self.faults.down:
            bottle.abort(500, 'down')
        index = int(bottle.request.query.get('index') or 0)
        seconds = float((bottle.request.query.get('wait') or '0').rstrip('s'))
        end = time.monotonic() + min(seconds, MAX_WAIT_SECONDS)
        while index and current() <= index and time.monotonic() < end:
            gevent.sleep(POLL_SECONDS)
            if self.faults.down:
                bottle.abort(500, 'down')

    def _read(self, key: str) -> typing.Any:
        self._wait(lambda: self._values.get(key, (self._index, b''))[0])
        index, data = self._values.get(key, (self._index, None))
        bottle.response.set_header('X-Consul-Index', str(index))
        bottle.response.content_type = 'application/json'
        if data is None:
            bottle.response.status = 404
            return b''
        value = base64.b64encode(data).decode()
        return json.dumps([{'Key': key, 'Value': value, 'ModifyIndex': index}])

    def _write(self, key: str) -> typing.Any:
        data = bottle.request.body.read()
        if len(data) > MAX_VALUE_BYTES:
            bottle.abort(413, 'too large')
        self.write(key, data)
        return 'true'

    def _list(self, name: str) -> typing.Any:
        self._wait(lambda: self._instances_index)
        index = str(self._instances_index)
        bottle.response.set_header('X-Consul-Index', index)
        bottle.response.content_type = 'application/json'
        rows = list(self._instances.values())
        return json.dumps([{'Service': row, 'Checks': []} for row in rows])

    def _register(self) -> typing.Any:
        self.register(json.load(bottle.request.body))
        return ''

    def _deregister(self, id: str) -> typing.Any:
        self.deregister(id)
        return ''

    def _set_faults(self) -> typing.Any:
        fresh = json.load(bottle.request.body)
        self.faults = dataclasses.replace(self.faults, **fresh)
        return dataclasses.asdict(self.faults)
