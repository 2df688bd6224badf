"""JSON calls over persistent connections."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import json
import typing

import gevent

from kingcupfront_core import address
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import objects
from kingcupfront_gateway import reply_buffers
from kingcupfront_gateway import target_signs
from kingcupfront_gateway import upstream

CONNECT_TIMEOUT_SECONDS = 0.5
# Transfer time of several versions of a large configuration (1 MB) over a link
# of 5 Mbit/s with other traffic.
LARGE_RESPONSE_SECONDS = 4.0
# Decoded, JSON takes several times its bytes in memory.
MAX_TARGET_RESPONSE_BYTES = 1024 * 1024


class JsonConnection:
    """A persistent connection for JSON calls, opened on demand.

    :param server_address: the address to connect to.
    :param on_head: called with the head of each response.
    :param buffers: bounds the responses that are buffered at the same time;
        None if this connection has a bound of its own.
    :param max_bytes: the most bytes that a response may have.
    """

    def __init__(
        self,
        server_address: address.Address,
        on_head: Callable[[upstream.ReplyHead], None] | None = None,
        *,
        buffers: reply_buffers.ReplyBuffers | None = None,
        max_bytes: int = upstream.MAX_BODY_BYTES,
    ) -> None:
        self.server_address = server_address
        self._buffers = buffers or reply_buffers.ReplyBuffers()
        self._max_bytes = max_bytes
        self._on_head = on_head
        self._connection: upstream.UpstreamConnection | None = None

    def call(
        self, method: str, path: str, *, timeout: float, body: object = None
    ) -> tuple[int, typing.Any]:
        """Send a request and return its response.

        :param timeout: seconds without a byte of the response; a response
            that is large for a slow link may take longer in total.
        :returns: the status and the decoded body, which is None if empty.
        :raises TargetError: if no complete response arrives in time.
        """
        try:
            with _time_limit(timeout + LARGE_RESPONSE_SECONDS):
                if self._connection is None or not self._connection.is_usable:
                    self.close()
                    self._connection = upstream.UpstreamConnection(
                        self.server_address,
                        min(timeout, CONNECT_TIMEOUT_SECONDS),
                        self._buffers,
                    )
                head, payload = _send_request(
                    self._connection,
                    self.server_address,
                    method,
                    path,
                    timeout,
                    body,
                    self._max_bytes,
                )
        except BaseException:
            self.close()
            raise
        if self._on_head is not None:
            self._on_head(head)
        return head.status, payload

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class PooledJsonConnection:
    """JSON calls to one target over the pool that its requests use.

    :param process: the gateway process.
    :param target: the target to call.
    """

    def __init__(
        self, process: gateway.Gateway, target: objects.Target
    ) -> None:
        self._process = process
        self.target = target

    def call(
        self, method: str, path: str, *, timeout: float, body: object = None
    ) -> tuple[int, typing.Any]:
        """Send a request and return its response.

        :param timeout: seconds within which the complete response must arrive.
        :returns: the status and the decoded body, which is None if empty.
        :raises TargetError: if no complete response arrives in time.
        """
        process, target = self._process, self.target
        state = process.targets.by_id.get(target.id)
        if state is not None and state.target.born == target.born:
            target_signs.raise_if_silenced(state, process.clock.monotonic())
        connection = process.pool.acquire(target, process.clock.monotonic())
        try:
            with _time_limit(timeout):
                head, payload = _send_request(
                    connection,
                    target.address,
                    method,
                    path,
                    timeout,
                    body,
                    MAX_TARGET_RESPONSE_BYTES,
                )
        except BaseException:
            connection.close()
            raise
        facts = process.platform.read_reply(head.status, head.headers)
        if state is not None and state.target.born == target.born:
            target_signs.apply(process, state, facts, f'{method} {path}')
        process.pool.release(
            target, connection, facts.idle_seconds, process.clock.monotonic()
        )
        return head.status, payload


@contextlib.contextmanager
def _time_limit(timeout: float) -> Iterator[None]:
    try:
        with gevent.Timeout(timeout):
            yield
    except gevent.Timeout as error:
        raise errors.SilentTargetError(
            f'no complete response within {timeout:.1f} s'
        ) from error


def _send_request(
    connection: upstream.UpstreamConnection,
    server_address: address.Address,
    method: str,
    path: str,
    timeout: float,
    body: object,
    max_bytes: int,
) -> tuple[upstream.ReplyHead, typing.Any]:
    data = b'' if body is None else json.dumps(body).encode()
    headers = [(b'Host', str(server_address).encode())]
    if data:
        headers.append((b'Content-Type', b'application/json'))
    connection.send(method, path, headers, data, timeout)
    head = connection.read_head(timeout)
    payload = connection.read_body(timeout, max_bytes)
    try:
        return head, json.loads(payload) if payload else None
    except (ValueError, RecursionError) as error:
        raise errors.BrokenReplyError(
            f'response to {method} {path} is not JSON'
        ) from error
