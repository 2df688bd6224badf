"""Calls that are answered with JSON, over one kept connection."""

import json
import typing

import gevent

from kingcupfront_core import address
from kingcupfront_gateway import errors
from kingcupfront_gateway import upstream

CONNECT_TIMEOUT_SECONDS = 0.5


class JsonConnection:
    """A connection for calls, opened when it is needed.

    :param to: the address that is called.
    """

    def __init__(self, to: address.Address) -> None:
        self._to = to
        self._link: upstream.Upstream | None = None

    def call(
        self, method: str, path: str, *, timeout: float, body: object = None
    ) -> tuple[int, typing.Any]:
        """Make a call.

        :param timeout: seconds until the whole answer must be in.
        :returns: the status and the decoded body; None if there is none.
        :raises TargetError: if there is no whole answer in time.
        """
        try:
            with gevent.Timeout(timeout):
                return self._call(method, path, timeout, body)
        except gevent.Timeout as error:
            self.close()
            raise errors.SilentTargetError(
                f'no answer within {timeout:.1f} s'
            ) from error
        except BaseException:
            self.close()
            raise

    def _call(
        self, method: str, path: str, timeout: float, body: object
    ) -> tuple[int, typing.Any]:
        if self._link is None or not self._link.is_usable:
            self.close()
            self._link = upstream.Upstream(
                self._to, min(timeout, CONNECT_TIMEOUT_SECONDS)
            )
        data = b'' if body is None else json.dumps(body).encode()
        headers = [(b'Host', str(self._to).encode())]
        if data:
            headers.append((b'Content-Type', b'application/json'))
        self._link.send(method, path, headers, data, timeout)
        head = self._link.read_head(timeout)
        answer = self._link.read_body(timeout)
        try:
            return head.status, json.loads(answer) if answer else None
        except ValueError as error:
            raise errors.BrokenReplyError('not JSON') from error

    def close(self) -> None:
        """Close the connection; the next call opens one."""
        if self._link is not None:
            self._link.close()
            self._link = None
