"""One connection to an engine that carries the events of one generation.

It is never taken from a pool nor given to one: what an earlier request
left on a kept connection cannot reach this one, and a connection that a
middlebox has forgotten is not met again.
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
from kingcupfront_stream import chunked
from kingcupfront_stream import errors
from kingcupfront_stream import silence_watch
from kingcupfront_stream import sse

CONNECT_TIMEOUT_SECONDS = 1.0
READ_BYTES = 16 * 1024
READ_EVENT = 1
MAX_REFUSAL_BYTES = 64 * 1024
GENERATION_HEADER = 'X-Request-Id'
RUN_HEADER = 'X-Run-Id'
READER_HEADER = 'X-Reader'
FAILURES = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
)


@dataclasses.dataclass(frozen=True)
class Question:
    """What is asked of an engine.

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

    :param response: the engine's answer, whose head has been read.
    :param sock: the connection's socket.
    :param wait: the waits of the connection.
    """

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        sock: typing.Any,
        wait: silence_watch.Wait,
    ) -> None:
        self.run = response.headers.get(RUN_HEADER, '').encode()
        self.number = response.headers.get(READER_HEADER, '')
        self._sock = sock
        self._wait = wait
        # What the library has read beyond the head comes out first; from
        # then on the socket is read as it is.
        self._file = response._fp.fp
        self._decoder = None
        if response.headers.get('Transfer-Encoding', '') == 'chunked':
            self._decoder = chunked.Decoder()
        self._parser = sse.Parser()
        self._hub = gevent.get_hub()
        self._readable = self._hub.loop.io(sock.fileno(), READ_EVENT)

    def close(self) -> None:
        """Give up what waits for the socket."""
        self._readable.close()

    def read(self, silence_seconds: float) -> list[sse.Event]:
        """Return the events that arrived together; empty at the end.

        :param silence_seconds: how long to wait for a byte, in seconds.
        :raises SilentError: if none arrived.
        :raises EngineError: if the connection broke.
        """
        self._wait.due = time.monotonic() + silence_seconds
        try:
            while data := self._receive():
                if self._decoder is not None:
                    data = self._decoder.feed(data)
                    if self._decoder.ended and not data:
                        return []
                if events := self._parser.feed(data):
                    return events
        except FAILURES as error:
            raise _failure(error) from error
        except (sse.EventError, chunked.ChunkError) as error:
            raise errors.BrokenError(str(error)) from error
        finally:
            self._wait.due = silence_watch.NEVER
        if self._wait.silent:
            raise errors.SilentError('the connection is silent')
        return []

    def _receive(self) -> bytes:
        if self._file is None:
            # A try before the wait nearly always fails: one call saved.
            self._hub.wait(self._readable)
            return self._sock.recv(READ_BYTES)
        file, self._file = self._file, None
        return file.read1(READ_BYTES)


@contextlib.contextmanager
def opened(
    question: Question,
    silence_seconds: float,
    watch: silence_watch.SilenceWatch,
) -> Iterator[Reader]:
    """Ask an engine and hold its events while the block runs.

    :param question: what to ask.
    :param silence_seconds: bound on the wait for the answer, in seconds.
    :param watch: looks after the later waits.
    :raises UnreachableError: if no connection could be made.
    :raises RefusedError: if the engine refuses.
    :raises EngineError: if it cannot be asked.
    """
    target = question.target
    line = connection.HTTPConnection(
        target.host, target.port, timeout=CONNECT_TIMEOUT_SECONDS
    )
    with contextlib.ExitStack() as stack:
        stack.callback(line.close)
        _connect(line)
        try:
            sock = line.sock
            sock.settimeout(silence_seconds)
            line.request(
                question.method,
                question.path,
                body=question.body,
                headers=question.headers,
                preload_content=False,
            )
            response = line.getresponse()
            stack.callback(response.close)
            _check(question, response)
        except FAILURES as error:
            raise _failure(error) from error
        sock.settimeout(None)
        wait = stack.enter_context(watch.watching(sock))
        yield stack.enter_context(
            contextlib.closing(Reader(response, sock, wait))
        )


def _connect(line: connection.HTTPConnection) -> None:
    try:
        line.connect()
    except FAILURES as error:
        closed = isinstance(error.__cause__, ConnectionRefusedError)
        raise errors.UnreachableError(str(error), closed=closed) from error


def _check(question: Question, response: urllib3.BaseHTTPResponse) -> None:
    if response.status != 200:
        wait = response.headers.get('Retry-After', '')
        raise errors.RefusedError(
            f'the engine answered {response.status}',
            response.status,
            response.read(MAX_REFUSAL_BYTES),
            float(wait) if wait.isdecimal() else 1.0,
        )
    named = response.headers.get(GENERATION_HEADER, question.generation)
    if named != question.generation:
        raise errors.BrokenError('an answer about another generation')


def _failure(error: Exception) -> errors.EngineError:
    if isinstance(error, (TimeoutError, urllib3.exceptions.ReadTimeoutError)):
        return errors.SilentError('the connection is silent')
    return errors.EngineError(f'{type(error).__name__}: {error}', sent=True)
