"""The HTTP client for the state of engines and for orders to them."""

import json
import typing

import pydantic
import urllib3

from kingcupfront_core import address
from kingcupfront_core import strict_replies
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
    """Reads the state of engines and sends them orders."""

    def __init__(self) -> None:
        self._pool = strict_replies.PoolManager(retries=False)

    def fetch_state(self, engine: address.Address) -> order.EngineState:
        """Return the current state of an engine.

        :param engine: the address of the engine.
        :raises OrderError: if the engine did not return a valid state.
        """
        engine_state = _parse(_State, self._get(engine, '/v1/state'))
        load = _parse(_Load, self._get(engine, '/v1/load'))
        return order.EngineState(
            engine_state.models,
            frozenset(engine_state.adapters),
            engine_state.role,
            engine_state.fencing,
            load.running + load.waiting,
        )

    def send(self, engine: address.Address, new_order: order.Order) -> None:
        """Send an order; it is idempotent and may be sent again.

        :param engine: the address of the engine.
        :param new_order: the order.
        :raises FencedError: if the engine has executed an order of a newer
            revision.
        :raises OrderError: if the engine did not confirm the order.
        """
        status, _ = self._request(
            'POST',
            engine,
            '/v1/orders',
            ORDER_TIMEOUT_SECONDS,
            json.dumps(new_order.as_dict()),
        )
        if status == CONFLICT_STATUS:
            raise errors.FencedError(
                f'{engine}: the order of revision {new_order.fencing} is older'
                ' than one that the engine has executed'
            )
        if status != 200:
            raise errors.OrderError(
                f'{engine}: the order was answered with status {status}'
            )

    def _get(self, engine: address.Address, path: str) -> bytes:
        status, body = self._request(
            'GET', engine, path, STATE_TIMEOUT_SECONDS
        )
        if status != 200:
            raise errors.OrderError(
                f'{engine}: GET {path} was answered with status {status}'
            )
        return body

    def _request(
        self,
        method: str,
        engine: address.Address,
        path: str,
        read_timeout_seconds: float,
        body: str | None = None,
    ) -> tuple[int, bytes]:
        try:
            with self._pool.request(
                method,
                f'http://{engine}{path}',
                body=body,
                timeout=urllib3.Timeout(
                    CONNECT_TIMEOUT_SECONDS, read_timeout_seconds
                ),
                preload_content=False,
            ) as response:
                return response.status, response.read(MAX_BODY_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.OrderError(
                f'{engine}: {method} {path} failed: {error}'
            ) from error


def _parse(schema: type[typing.Any], body: bytes) -> typing.Any:
    try:
        return schema.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise errors.OrderError(
            'the response of the engine does not match its schema'
        ) from error
