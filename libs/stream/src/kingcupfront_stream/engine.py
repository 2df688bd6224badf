"""The interface of model engines: numbered events that can be resumed."""

from collections.abc import Iterator
import contextlib
import json
import typing

import urllib3

from kingcupfront_core import address
from kingcupfront_stream import errors
from kingcupfront_stream import sse

CONNECT_TIMEOUT_SECONDS = 1.0
CONTROL_TIMEOUT_SECONDS = 5.0
READ_BYTES = 65536
GENERATION_HEADER = 'X-Request-Id'
POOL_CONNECTIONS = 1024
DONE = b'[DONE]'


class EngineClient:
    """Starts, resumes and cancels generations on engines."""

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(
            num_pools=POOL_CONNECTIONS, maxsize=POOL_CONNECTIONS, retries=False
        )

    @contextlib.contextmanager
    def start(
        self,
        target: address.Address,
        path: str,
        generation: str,
        body: bytes,
        silence_seconds: float,
    ) -> Iterator[Iterator[sse.Event]]:
        """Start a generation and hold its events while the block runs.

        :param target: where the engine listens.
        :param path: the path of the API.
        :param generation: the id of the generation.
        :param body: the request's JSON.
        :param silence_seconds: bound on silence between bytes, in seconds.
        :raises RefusedError: if the engine refuses to run it.
        :raises EngineError: if the engine cannot be asked.
        """
        headers = {
            'Content-Type': 'application/json',
            GENERATION_HEADER: generation,
        }
        with self._events(
            'POST', target, path, headers, body, silence_seconds
        ) as events:
            yield events

    @contextlib.contextmanager
    def resume(
        self,
        target: address.Address,
        generation: str,
        after: int,
        silence_seconds: float,
    ) -> Iterator[Iterator[sse.Event]]:
        """Hold the events of a running generation after a number.

        :param after: the number of the last event that was delivered.
        :raises RefusedError: if the engine does not know the generation.
        :raises EngineError: if the engine cannot be asked.
        """
        with self._events(
            'GET',
            target,
            f'/v1/generations/{generation}/events',
            {'Last-Event-ID': str(after)},
            None,
            silence_seconds,
        ) as events:
            yield events

    def cancel(self, target: address.Address, generation: str) -> None:
        """Stop a generation.

        :raises EngineError: if the engine cannot be asked.
        """
        self._control('DELETE', target, f'/v1/generations/{generation}')

    def load(self, target: address.Address) -> dict[str, typing.Any]:
        """Return the engine's load report.

        :raises EngineError: if the engine cannot be asked.
        """
        return self._control('GET', target, '/v1/load')

    def _control(
        self, method: str, target: address.Address, path: str
    ) -> dict[str, typing.Any]:
        try:
            response = self._pool.request(
                method,
                f'http://{target}{path}',
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS,
                    read=CONTROL_TIMEOUT_SECONDS,
                ),
            )
            return json.loads(response.data or b'{}')
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise errors.EngineError(
                f'{target}: {error}', sent=True
            ) from error

    @contextlib.contextmanager
    def _events(
        self,
        method: str,
        target: address.Address,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        silence_seconds: float,
    ) -> Iterator[Iterator[sse.Event]]:
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=silence_seconds
        )
        try:
            response = self._pool.request(
                method,
                f'http://{target}{path}',
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise errors.EngineError(str(error), sent=False) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.EngineError(str(error), sent=True) from error
        try:
            if response.status != 200:
                raise errors.RefusedError(
                    f'status {response.status}',
                    response.status,
                    response.read(READ_BYTES),
                )
            yield _read(response)
        finally:
            response.close()


def _read(response: urllib3.BaseHTTPResponse) -> Iterator[sse.Event]:
    parser = sse.Parser()
    try:
        while data := response.read1(READ_BYTES):
            yield from parser.feed(data)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise errors.EngineError(str(error), sent=True) from error
