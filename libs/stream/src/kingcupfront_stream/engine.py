"""The interface of model engines: numbered events that can be resumed."""

import contextlib
import json
import typing

import urllib3

from kingcupfront_core import address
from kingcupfront_stream import connection
from kingcupfront_stream import errors
from kingcupfront_stream import silence_watch

CONTROL_TIMEOUT_SECONDS = 5.0
POOL_CONNECTIONS = 16
MAX_POOLS = 1024
PREFIX_HEADER = 'X-Prefix'
LAST_READER_PARAMETER = 'last_reader'


class EngineClient:
    """Starts, resumes and cancels generations on engines."""

    def __init__(self) -> None:
        self._watch = silence_watch.SilenceWatch()
        self._pool = urllib3.PoolManager(
            num_pools=MAX_POOLS, maxsize=POOL_CONNECTIONS, retries=False
        )

    def start(
        self,
        target: address.Address,
        path: str,
        generation: str,
        body: bytes,
        silence_seconds: float,
        prefix: tuple[int, ...] = (),
    ) -> contextlib.AbstractContextManager[connection.Reader]:
        """Start a generation and hold its events while the block runs.

        :param target: where the engine listens.
        :param path: the path of the API.
        :param generation: the id of the generation.
        :param body: the request's JSON.
        :param silence_seconds: bound on the wait for the answer.
        :param prefix: hashes of the prompt's leading blocks.
        :raises RefusedError: if the engine refuses to run it.
        :raises EngineError: if the engine cannot be asked.
        """
        headers = {
            'Content-Type': 'application/json',
            connection.GENERATION_HEADER: generation,
        }
        if prefix:
            headers[PREFIX_HEADER] = ','.join(f'{n:x}' for n in prefix)
        question = connection.Question(
            target, 'POST', path, generation, headers, body
        )
        return connection.opened(question, silence_seconds, self._watch)

    def resume(
        self,
        target: address.Address,
        generation: str,
        run: bytes,
        after: int,
        silence_seconds: float,
    ) -> contextlib.AbstractContextManager[connection.Reader]:
        """Hold the events of a running generation after a number.

        :param run: the engine's name for the run, if it is known.
        :param after: the number of the last event that was delivered.
        :raises RefusedError: if the engine does not know the generation.
        :raises EngineError: if the engine cannot be asked.
        """
        prefix = f'{run.decode()}.' if run else ''
        question = connection.Question(
            target,
            'GET',
            f'/v1/generations/{generation}/events',
            generation,
            {'Last-Event-ID': f'{prefix}{after}'},
        )
        return connection.opened(question, silence_seconds, self._watch)

    def cancel(
        self,
        target: address.Address,
        generation: str,
        reader: str = '',
    ) -> None:
        """Stop a generation, unless a newer connection reads it.

        :param reader: the engine's number of the newest own connection;
            empty stops the generation whoever reads it.
        :raises EngineError: if the engine cannot be asked.
        """
        path = f'/v1/generations/{generation}'
        if reader:
            path += f'?{LAST_READER_PARAMETER}={reader}'
        self._control('DELETE', target, path)

    def load(self, target: address.Address) -> dict[str, typing.Any]:
        """Return the engine's load report.

        :raises EngineError: if the engine cannot be asked.
        """
        return self._control('GET', target, '/v1/load')

    def cache_events(
        self, target: address.Address, after: int, wait_seconds: float
    ) -> list[dict[str, typing.Any]]:
        """Return the engine's cache events after a number.

        :param after: the number of the last event that is known.
        :param wait_seconds: how long to wait for one, in seconds.
        :raises EngineError: if the engine cannot be asked.
        """
        path = f'/v1/cache/events?after={after}&wait={wait_seconds:g}'
        found = self._control('GET', target, path).get('events')
        if not isinstance(found, list):
            raise errors.EngineError(f'{target}: no events', sent=True)
        return found

    def _control(
        self, method: str, target: address.Address, path: str
    ) -> dict[str, typing.Any]:
        try:
            response = self._pool.request(
                method,
                f'http://{target}{path}',
                timeout=urllib3.Timeout(
                    connect=connection.CONNECT_TIMEOUT_SECONDS,
                    read=CONTROL_TIMEOUT_SECONDS,
                ),
            )
            return json.loads(response.data or b'{}')
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise errors.EngineError(
                f'{target}: {error}', sent=True
            ) from error
