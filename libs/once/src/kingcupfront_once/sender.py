"""Sends a call to a target and determines whether the call may have run."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import http.client

import gevent
import urllib3
from urllib3.util import wait

from kingcupfront_core import address
from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_core import strict_replies
from kingcupfront_core import switching_socket
from kingcupfront_once import call
from kingcupfront_once import errors

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_RESPONSE_BYTES = 3 * 1024 * 1024
READ_CHUNK_BYTES = 64 * 1024
OUTCOME_HEADER = 'Kingcupfront-Outcome'
# Intermediaries send these statuses when the server behind them may have run
# the request.
AMBIGUOUS_STATUSES = frozenset({408, 425, 429, 502, 503, 504})
MIN_ERROR_STATUS = 400
# Headers that are not forwarded: those of a single hop, those that are set
# anew for each hop, and the caller's API key.
STRIPPED_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'authorization',
    }
)
TRANSPORT_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
    gevent.Timeout,
)

PreWriteCheck = Callable[[], None]


def _no_check() -> None:
    """Allow the first write: the check used when there is nothing to check."""


class _Connection(strict_replies.Connection):
    """A connection for one call that records whether a write was started.

    :param target: the address of the target.
    :param check: called right before the first write; raises a
        ``KingcupfrontError`` to prevent it.
    """

    auto_open = 0
    socket_class = switching_socket.SwitchingSocket

    def __init__(self, target: address.Address, check: PreWriteCheck) -> None:
        super().__init__(
            target.host, target.port, timeout=CONNECT_TIMEOUT_SECONDS
        )
        self.write_started = False
        self._check = check

    def send(self, data: bytes) -> None:
        """Write; before the first write, check that no data was received.

        :raises EarlyAnswerError: if the target sent data before the request.
        """
        if not self.write_started:
            if wait.wait_for_read(self.sock, timeout=0):
                raise errors.EarlyAnswerError(
                    'the target sent data before the request'
                )
            self._check()
            self.write_started = True
        super().send(data)


class Sender:
    """Sends calls to targets.

    Each call uses its own connection, so that a late response to one call is
    never taken for the response to another.
    """

    def send(
        self,
        target: address.Address,
        request: call.Call,
        check: PreWriteCheck = _no_check,
    ) -> call.Result:
        """Send a call once and return its result.

        The outcome is ``not_run`` only if no write was started, or if the
        target's response says so.

        :param target: the address of the target.
        :param request: the call.
        :param check: called right before the first write; raises a
            ``KingcupfrontError`` to prevent it.
        """
        conn = _Connection(target, check)
        try:
            with (
                contextlib.closing(conn),
                _time_limit(request.timeout_seconds),
            ):
                conn.connect()
                conn.timeout = request.timeout_seconds
                _send_request(conn, request)
                return _read_response(conn)
        except core_errors.KingcupfrontError as error:
            return _failure_result(conn.write_started, error.code, str(error))
        except TRANSPORT_ERRORS as error:
            code = 'no_answer' if conn.write_started else 'target_unreachable'
            return _failure_result(
                conn.write_started, code, f'{target}: {error}'
            )


@contextlib.contextmanager
def _time_limit(seconds: float) -> Iterator[None]:
    with gevent.Timeout(seconds):
        yield


def _send_request(conn: _Connection, request: call.Call) -> None:
    headers = [
        h for h in request.headers if h[0].lower() not in STRIPPED_HEADERS
    ]
    try:
        conn.request(
            request.method,
            request.path,
            body=request.body or None,
            headers=dict(headers) | {'Connection': 'close'},
            preload_content=False,
            decode_content=False,
        )
    except (BrokenPipeError, ConnectionResetError):
        # A target may respond and close the connection before it has read
        # the whole body: its response can still be read.
        if not conn.write_started:
            raise


def _read_response(conn: _Connection) -> call.Result:
    response = conn.getresponse()
    body = response.read(MAX_RESPONSE_BYTES + 1, decode_content=False)
    outcome = _outcome(response)
    if len(body) > MAX_RESPONSE_BYTES:
        return call.Result(
            outcome,
            code='answer_too_large',
            reason=f'the response body exceeds {MAX_RESPONSE_BYTES} bytes',
        )
    if response.read(1, decode_content=False) or not _is_complete(response):
        return _failure_result(
            True,
            'no_answer',
            'the response is incomplete or has no declared length',
        )
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in STRIPPED_HEADERS | {OUTCOME_HEADER.lower()}
    )
    return call.Result(outcome, response.status, headers, body)


def _is_complete(response: urllib3.BaseHTTPResponse) -> bool:
    return response.chunked or response.length_remaining == 0


def _outcome(response: urllib3.BaseHTTPResponse) -> outcomes.Outcome:
    status = response.status
    if status < MIN_ERROR_STATUS:
        return outcomes.Outcome.DONE
    not_run = response.headers.get(OUTCOME_HEADER) == outcomes.Outcome.NOT_RUN
    if not_run:
        return outcomes.Outcome.NOT_RUN
    if status in AMBIGUOUS_STATUSES:
        return outcomes.Outcome.UNKNOWN
    return outcomes.Outcome.FAILED


def _failure_result(
    write_started: bool, code: str, reason: str
) -> call.Result:
    outcome = (
        outcomes.Outcome.UNKNOWN if write_started else outcomes.Outcome.NOT_RUN
    )
    return call.Result(outcome, code=code, reason=reason)
