"""One connection to an engine that carries the events of one generation.

Connections are not pooled. Unread data of an earlier request can thus not
reach a later one, and no request is sent on an idle connection whose state
a middlebox has dropped.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import http.client
import time
import typing

import gevent
import urllib3
from urllib3 import connection

from kingcupfront_core import address
from kingcupfront_core import strict_replies
from kingcupfront_core import switching_socket
from kingcupfront_stream import chunked
from kingcupfront_stream import errors
from kingcupfront_stream import read_watchdog
from kingcupfront_stream import sse

CONNECT_TIMEOUT_SECONDS = 1.0
READ_BYTES = 16 * 1024
READ_EVENT = 1
MAX_REFUSAL_BYTES = 64 * 1024
GENERATION_HEADER = 'X-Request-Id'
RUN_HEADER = 'X-Run-Id'
READER_HEADER = 'X-Reader'
TRANSPORT_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
)


class EngineConnection(strict_replies.Connection):
    """A connection whose reads let other tasks run."""

    socket_class = switching_socket.SwitchingSocket


@dataclasses.dataclass(frozen=True)
class EngineRequest:
    """An HTTP request to an engine.

    :param target: where the engine listens.
    :param method: the HTTP method.
    :param path: the path.
    :param generation: the generation's id.
    :param headers: the headers.
    :param body: the body, if any.
    """

    target: address.Address
    method: str
    path: str
    generation: str
    headers: dict[str, str]
    body: bytes | None = None


class Reader:
    """Reads the events of an open connection.

    :param response: the engine's response, whose head has been read.
    :param sock: the connection's socket.
    :param wait: the read deadline of the connection.
    """

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        sock: typing.Any,
        wait: read_watchdog.ReadWait,
    ) -> None:
        self.run = response.headers.get(RUN_HEADER, '').encode()
        self.number = response.headers.get(READER_HEADER, '')
        self._sock = sock
        self._wait = wait
        # Bytes that the library buffered beyond the head are read first;
        # after that, reads go to the socket directly.
        self._file = response._fp.fp
        self._decoder = None
        if response.chunked:
            self._decoder = chunked.Decoder()
        self._parser = sse.Parser()
        self._hub = gevent.get_hub()
        self._readable = self._hub.loop.io(sock.fileno(), READ_EVENT)

    def close(self) -> None:
        """Release the event-loop watcher of the socket."""
        self._readable.close()

    def read(self, silence_seconds: float) -> list[sse.Event]:
        """Return the next events that arrived together; empty at the end.

        :param silence_seconds: how long to wait for an event, in seconds.
        :raises SilentError: if none arrived in this time.
        :raises EngineError: if the connection broke.
        """
        self._wait.deadline = time.monotonic() + silence_seconds
        try:
            while data := self._receive():
                if self._decoder is not None:
                    data = self._decoder.feed(data)
                    if self._decoder.ended and not data:
                        return []
                if events := self._parser.feed(data):
                    return events
        except TRANSPORT_ERRORS as error:
            # When the watchdog closes a socket with unread data, reads fail
            # with a connection reset.
            if self._wait.silent:
                raise self._silent_error() from error
            raise _to_engine_error(error) from error
        except (sse.EventError, chunked.ChunkError) as error:
            raise errors.BrokenError(str(error)) from error
        finally:
            self._wait.deadline = read_watchdog.NO_DEADLINE
        if self._wait.silent:
            raise self._silent_error()
        return []

    def _silent_error(self) -> errors.SilentError:
        return errors.SilentError(
            'no event from the engine within the read timeout'
        )

    def _receive(self) -> bytes:
        if self._file is None:
            # Wait first: a recv() without waiting nearly always finds no data.
            self._hub.wait(self._readable)
            return self._sock.recv(READ_BYTES)
        file, self._file = self._file, None
        return file.read1(READ_BYTES)


@contextlib.contextmanager
def open_reader(
    request: EngineRequest,
    silence_seconds: float,
    watchdog: read_watchdog.ReadWatchdog,
) -> Iterator[Reader]:
    """Send a request and yield a reader of the events of its response.

    :param request: the request.
    :param silence_seconds: time limit of the response head, in seconds.
    :param watchdog: enforces the read deadlines of the events.
    :raises UnreachableError: if no connection could be made.
    :raises RefusedError: if the response status is not 200.
    :raises EngineError: if the request or its response fails.
    """
    target = request.target
    conn = EngineConnection(
        target.host, target.port, timeout=CONNECT_TIMEOUT_SECONDS
    )
    with contextlib.ExitStack() as stack:
        stack.callback(conn.close)
        _connect(conn)
        try:
            sock = conn.sock
            sock.settimeout(silence_seconds)
            with _head_time_limit(silence_seconds):
                conn.request(
                    request.method,
                    request.path,
                    body=request.body,
                    headers=request.headers,
                    preload_content=False,
                )
                response = conn.getresponse()
                stack.callback(response.close)
                _check_response(request, response)
        except TRANSPORT_ERRORS as error:
            raise _to_engine_error(error) from error
        sock.settimeout(None)
        wait = stack.enter_context(watchdog.watch(sock))
        yield stack.enter_context(
            contextlib.closing(Reader(response, sock, wait))
        )


@contextlib.contextmanager
def _head_time_limit(seconds: float) -> Iterator[None]:
    with gevent.Timeout(seconds) as limit:
        try:
            yield
        except gevent.Timeout as error:
            if error is not limit:
                raise
            raise errors.SilentError(
                f'no response head within {seconds:.3f} s'
            ) from error


def _connect(conn: connection.HTTPConnection) -> None:
    try:
        conn.connect()
    except TRANSPORT_ERRORS as error:
        closed = isinstance(error.__cause__, ConnectionRefusedError)
        raise errors.UnreachableError(str(error), closed=closed) from error


def _check_response(
    request: EngineRequest, response: urllib3.BaseHTTPResponse
) -> None:
    if response.status != 200:
        wait = response.headers.get('Retry-After', '')
        raise errors.RefusedError(
            f'the engine responded with status {response.status}',
            response.status,
            response.read(MAX_REFUSAL_BYTES),
            float(wait) if wait.isdecimal() else 1.0,
        )
    named = response.headers.get(GENERATION_HEADER, request.generation)
    if named != request.generation:
        raise errors.BrokenError(
            f'the response is for generation {named}, '
            f'requested was {request.generation}'
        )


def _to_engine_error(error: Exception) -> errors.EngineError:
    if isinstance(error, (TimeoutError, urllib3.exceptions.ReadTimeoutError)):
        return errors.SilentError(
            'no data from the engine within the read timeout'
        )
    return errors.EngineError(f'{type(error).__name__}: {error}', sent=True)
