"""Reads the state of engines and sends them orders over HTTP."""

import json
import typing

import pydantic
import urllib3

from kingcupfront_core import address
from kingcupfront_order import errors
from kingcupfront_order import order

CONNECT_TIMEOUT_SECONDS = 1.0
STATE_TIMEOUT_SECONDS = 2.0
ORDER_TIMEOUT_SECONDS = 30.0
CONFLICT_STATUS = 409
MAX_BODY_BYTES = 1_000_000


class _State(pydantic.BaseModel):
    models: dict[str, str]
    adapters: tuple[str, ...] = ()
    role: str = 'mixed'
    fencing: int = 0


class _Load(pydantic.BaseModel):
    running: int
    waiting: int


class OrderClient:
    """Speaks the part of the engines' interface that orders need."""

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(retries=False)

    def fetch_state(self, engine: address.Address) -> order.EngineState:
        """Return what an engine holds now.

        :param engine: where it listens.
        :raises OrderError: if it does not say.
        """
        held = _parse(_State, self._get(engine, '/v1/state'))
        load = _parse(_Load, self._get(engine, '/v1/load'))
        return order.EngineState(
            held.models,
            frozenset(held.adapters),
            held.role,
            held.fencing,
            load.running + load.waiting,
        )

    def send(self, engine: address.Address, item: order.Order) -> None:
        """Send one order; sending it twice does no harm.

        :param engine: where it listens.
        :param item: the order.
        :raises FencedError: if the engine has obeyed a newer one.
        :raises OrderError: if it is not known to have been obeyed.
        """
        status, _ = self._request(
            'POST',
            engine,
            '/v1/orders',
            ORDER_TIMEOUT_SECONDS,
            json.dumps(item.as_dict()),
        )
        if status == CONFLICT_STATUS:
            raise errors.FencedError(f'{engine}: fencing {item.fencing}')
        if status != 200:
            raise errors.OrderError(f'{engine}: status {status}')

    def _get(self, engine: address.Address, path: str) -> bytes:
        status, body = self._request(
            'GET', engine, path, STATE_TIMEOUT_SECONDS
        )
        if status != 200:
            raise errors.OrderError(f'{engine}: status {status}')
        return body

    def _request(
        self,
        method: str,
        engine: address.Address,
        path: str,
        seconds: float,
        body: str | None = None,
    ) -> tuple[int, bytes]:
        try:
            with self._pool.request(
                method,
                f'http://{engine}{path}',
                body=body,
                timeout=urllib3.Timeout(CONNECT_TIMEOUT_SECONDS, seconds),
                preload_content=False,
            ) as response:
                return response.status, response.read(MAX_BODY_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.OrderError(f'{engine}: {error}') from error


def _parse(kind: type[typing.Any], body: bytes) -> typing.Any:
    try:
        return kind.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise errors.OrderError('an answer of another form') from error
