"""Calls that are answered with JSON, over kept connections."""

from collections.abc import Iterator
import contextlib
import json
import typing

import gevent

from kingcupfront_core import address
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import objects
from kingcupfront_gateway import upstream

CONNECT_TIMEOUT_SECONDS = 0.5
# Several versions of a large configuration, 1 MB, take this long on a link of
# 5 Mbit/s with other traffic.
LARGE_ANSWER_SECONDS = 4.0


class JsonConnection:
    """A connection for calls, opened when it is needed.

    :param to: the address that is called.
    """

    def __init__(self, to: address.Address) -> None:
        self.to = to
        self._link: upstream.UpstreamConnection | None = None

    def call(
        self, method: str, path: str, *, timeout: float, body: object = None
    ) -> tuple[int, typing.Any]:
        """Make a call.

        :param timeout: seconds without any byte of the answer; an answer
            that is large for a slow link may take longer as a whole.
        :returns: the status and the decoded body; None if there is none.
        :raises TargetError: if there is no whole answer in time.
        """
        try:
            with _limited(timeout + LARGE_ANSWER_SECONDS):
                if self._link is None or not self._link.is_usable:
                    self.close()
                    self._link = upstream.UpstreamConnection(
                        self.to, min(timeout, CONNECT_TIMEOUT_SECONDS)
                    )
                head, answer = _exchange(
                    self._link, self.to, method, path, timeout, body
                )
        except BaseException:
            self.close()
            raise
        return head.status, answer

    def close(self) -> None:
        """Close the connection; the next call opens one."""
        if self._link is not None:
            self._link.close()
            self._link = None


class PooledJsonConnection:
    """Calls to one target over the connections that its requests use.

    :param process: the parts of the process.
    :param target: the target that is called.
    """

    def __init__(
        self, process: gateway.Gateway, target: objects.Target
    ) -> None:
        self._process = process
        self.target = target

    def call(
        self, method: str, path: str, *, timeout: float, body: object = None
    ) -> tuple[int, typing.Any]:
        """Make a call.

        :param timeout: seconds until the whole answer must be in.
        :returns: the status and the decoded body; None if there is none.
        :raises TargetError: if there is no whole answer in time.
        """
        process, target = self._process, self.target
        link = process.pool.acquire(target, process.clock.monotonic())
        try:
            with _limited(timeout):
                head, answer = _exchange(
                    link, target.address, method, path, timeout, body
                )
        except BaseException:
            link.close()
            raise
        facts = process.platform.read_reply(head.status, head.headers)
        process.pool.release(
            target, link, facts.idle_seconds, process.clock.monotonic()
        )
        return head.status, answer


@contextlib.contextmanager
def _limited(timeout: float) -> Iterator[None]:
    try:
        with gevent.Timeout(timeout):
            yield
    except gevent.Timeout as error:
        raise errors.SilentTargetError(
            f'no answer within {timeout:.1f} s'
        ) from error


def _exchange(
    link: upstream.UpstreamConnection,
    to: address.Address,
    method: str,
    path: str,
    timeout: float,
    body: object,
) -> tuple[upstream.ReplyHead, typing.Any]:
    data = b'' if body is None else json.dumps(body).encode()
    headers = [(b'Host', str(to).encode())]
    if data:
        headers.append((b'Content-Type', b'application/json'))
    link.send(method, path, headers, data, timeout)
    head = link.read_head(timeout)
    answer = link.read_body(timeout)
    try:
        return head, json.loads(answer) if answer else None
    except ValueError as error:
        raise errors.BrokenReplyError('not JSON') from error
