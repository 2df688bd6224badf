"""Client of model engines, whose numbered events can be resumed."""

import contextlib
import json
import typing

import gevent
import urllib3

from kingcupfront_core import address
from kingcupfront_stream import connection
from kingcupfront_stream import errors
from kingcupfront_stream import read_watchdog

CONTROL_TIMEOUT_SECONDS = 5.0
MAX_CONTROL_BYTES = 4 * 1024 * 1024
CONTROL_READ_BYTES = 64 * 1024
POOL_CONNECTIONS = 16
MAX_POOLS = 1024
PREFIX_HEADER = 'X-Prefix'
LAST_READER_PARAMETER = 'last_reader'
CONTROL_ERRORS = (
    *connection.TRANSPORT_ERRORS,
    ValueError,
    RecursionError,
    TimeoutError,
)


class _EnginePool(urllib3.HTTPConnectionPool):
    ConnectionCls = connection.EngineConnection


class EngineClient:
    """Starts, resumes and cancels generations on engines."""

    def __init__(self) -> None:
        self._watchdog = read_watchdog.ReadWatchdog()
        self._pool = urllib3.PoolManager(
            num_pools=MAX_POOLS, maxsize=POOL_CONNECTIONS, retries=False
        )
        self._pool.pool_classes_by_scheme = {'http': _EnginePool}

    def start(
        self,
        target: address.Address,
        path: str,
        generation: str,
        body: bytes,
        silence_seconds: float,
        prefix: tuple[int, ...] = (),
    ) -> contextlib.AbstractContextManager[connection.Reader]:
        """Start a generation and return a context with its event reader.

        :param target: where the engine listens.
        :param path: the path of the API.
        :param generation: the id of the generation.
        :param body: the request's JSON.
        :param silence_seconds: read timeout of the response head, in seconds.
        :param prefix: hashes of the prompt's leading blocks.
        :raises RefusedError: if the engine refuses to run it.
        :raises EngineError: if the request fails.
        """
        headers = {
            'Content-Type': 'application/json',
            connection.GENERATION_HEADER: generation,
        }
        if prefix:
            headers[PREFIX_HEADER] = ','.join(f'{n:x}' for n in prefix)
        request = connection.EngineRequest(
            target, 'POST', path, generation, headers, body
        )
        return connection.open_reader(request, silence_seconds, self._watchdog)

    def resume(
        self,
        target: address.Address,
        generation: str,
        run: bytes,
        after: int,
        silence_seconds: float,
    ) -> contextlib.AbstractContextManager[connection.Reader]:
        """Resume a generation and return a context with its event reader.

        :param run: the engine's name for the run, if it is known.
        :param after: the number of the last event that was delivered.
        :raises RefusedError: if the engine does not know the generation.
        :raises EngineError: if the request fails.
        """
        prefix = f'{run.decode()}.' if run else ''
        request = connection.EngineRequest(
            target,
            'GET',
            f'/v1/generations/{generation}/events',
            generation,
            {'Last-Event-ID': f'{prefix}{after}'},
        )
        return connection.open_reader(request, silence_seconds, self._watchdog)

    def cancel(
        self,
        target: address.Address,
        generation: str,
        reader: str = '',
    ) -> None:
        """Stop a generation, unless a newer connection reads it.

        :param reader: the engine's number of this client's newest connection;
            if empty, the generation stops whichever connection reads it.
        :raises EngineError: if the request fails.
        """
        path = f'/v1/generations/{generation}'
        if reader:
            path += f'?{LAST_READER_PARAMETER}={reader}'
        self._control('DELETE', target, path)

    def load(self, target: address.Address) -> dict[str, typing.Any]:
        """Return the engine's load report.

        :raises EngineError: if the request fails.
        """
        return self._control('GET', target, '/v1/load')

    def cache_events(
        self, target: address.Address, after: int, wait_seconds: float
    ) -> list[dict[str, typing.Any]]:
        """Return the engine's cache events after a number.

        :param after: the number of the last event that is known.
        :param wait_seconds: long-poll wait for a new event, in seconds.
        :raises EngineError: if the request fails.
        """
        path = f'/v1/cache/events?after={after}&wait={wait_seconds:g}'
        found = self._control('GET', target, path).get('events')
        if not isinstance(found, list):
            raise errors.EngineError(
                f'{target}: the cache events response has no list of events',
                sent=True,
            )
        return found

    def _control(
        self, method: str, target: address.Address, path: str
    ) -> dict[str, typing.Any]:
        limit = connection.CONNECT_TIMEOUT_SECONDS + CONTROL_TIMEOUT_SECONDS
        try:
            with gevent.Timeout(
                limit, TimeoutError(f'no complete response within {limit:g} s')
            ):
                return json.loads(self._read(method, target, path) or b'{}')
        except CONTROL_ERRORS as error:
            raise errors.EngineError(
                f'{target}: {error}', sent=True
            ) from error

    def _read(self, method: str, target: address.Address, path: str) -> bytes:
        """Return the body of a response, of at most ``MAX_CONTROL_BYTES``.

        A connection whose response was not read to its end is closed.
        """
        response = self._pool.request(
            method,
            f'http://{target}{path}',
            timeout=urllib3.Timeout(
                connect=connection.CONNECT_TIMEOUT_SECONDS,
                read=CONTROL_TIMEOUT_SECONDS,
            ),
            preload_content=False,
        )
        body = bytearray()
        try:
            while data := response.read1(CONTROL_READ_BYTES):
                body += data
                if len(body) > MAX_CONTROL_BYTES:
                    raise ValueError(
                        f'the response has over {MAX_CONTROL_BYTES} bytes'
                    )
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return bytes(body)
