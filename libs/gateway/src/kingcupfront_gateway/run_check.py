"""Asks an engine whether it still works on a generation.

Reports are some hundred milliseconds old, so the answer is of use for an
engine that has sent nothing for longer than that.
"""

import enum
import typing

import gevent

from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import json_calls
from kingcupfront_gateway import targets


class RunAnswer(enum.Enum):
    """What an engine's last answer says of a generation."""

    # Its report lists the generation, or it answered without a list.
    RUNNING = 'running'
    # Its report does not list the generation.
    ENDED = 'ended'
    # It has not answered.
    NONE = 'none'


class RunCheck:
    """Asks for an engine's report in the background, one at a time.

    :param process: the shared state of the process.
    :param state: the engine.
    :param request_id: the id of the generation's request.
    """

    def __init__(
        self,
        process: gateway.Gateway,
        state: targets.TargetState,
        request_id: str,
    ) -> None:
        self._process = process
        self._state = state
        self._request_id = request_id
        self._task: gevent.Greenlet | None = None
        self._answer = RunAnswer.NONE
        self._begun_at = float('-inf')

    @property
    def answer(self) -> RunAnswer:
        """The last answer."""
        return self._answer

    def begin(self, interval: float = 0.0) -> None:
        """Ask for a report unless one is still waited for.

        :param interval: seconds since the last one was asked for, at least.
        """
        now = self._process.clock.monotonic()
        is_idle = self._task is None or self._task.ready()
        if is_idle and now - self._begun_at >= interval:
            self._begun_at = now
            self._task = gevent.spawn(self._ask)

    def wait(self, seconds: float) -> RunAnswer:
        """Wait for the report for some seconds; return the last answer."""
        if self._task is not None:
            self._task.join(seconds)
        return self._answer

    def cancel(self) -> None:
        """Wait no longer for a report."""
        if self._task is not None:
            self._task.kill(block=False)

    def _ask(self) -> None:
        connection = json_calls.PooledJsonConnection(
            self._process, self._state.target
        )
        answered = _AnsweredCalls(connection)
        try:
            ids = self._process.platform.read_report(answered).running_ids
        except errors.SilencedError:
            # It serves, and is not to be asked for a while.
            self._answer = RunAnswer.RUNNING
        except errors.GatewayError:
            self._answer = (
                RunAnswer.RUNNING if answered.count else RunAnswer.NONE
            )
        else:
            is_listed = ids is None or self._request_id in ids
            self._answer = RunAnswer.RUNNING if is_listed else RunAnswer.ENDED


class _AnsweredCalls:
    """Counts the calls on a connection that were answered."""

    def __init__(self, connection: json_calls.PooledJsonConnection) -> None:
        self._connection = connection
        self.count = 0

    def call(
        self, method: str, path: str, *, timeout: float, body: object = None
    ) -> tuple[int, typing.Any]:
        """Call as :meth:`json_calls.PooledJsonConnection.call` does."""
        response = self._connection.call(
            method, path, timeout=timeout, body=body
        )
        self.count += 1
        return response
