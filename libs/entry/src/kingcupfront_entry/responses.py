"""Tracks the requests that are being read and answered."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import typing

import gevent

from kingcupfront_entry import state
from kingcupfront_entry import stopping

Application = Callable[[dict[str, typing.Any], typing.Any], Iterable[bytes]]


@dataclasses.dataclass(eq=False)
class Activity:
    """A request that is being read, or the response to it.

    :param task: the task that reads or makes and writes it.
    :param is_waiting: whether it waits for something to read or write, so
        that it can be ended without cutting a write in two.
    :param is_ended: whether it was ended by :meth:`end`.
    """

    task: gevent.Greenlet
    is_waiting: bool = True
    is_ended: bool = False

    def end(self) -> None:
        """Raise a ``StoppedError`` in the task; called by the event loop."""
        if self.is_waiting and not self.is_ended:
            self.is_ended = True
            self.task.throw(stopping.StoppedError())


class ResponseTracker:
    """Tracks the responses of a WSGI application for a graceful shutdown.

    While the process drains, each response asks its caller to close the
    connection, so that the next request reaches another entry.

    :param process: the state of the process.
    """

    def __init__(self, process: state.State) -> None:
        self._process = process
        self._responses: set[Activity] = set()
        self._requests: set[Activity] = set()

    @property
    def in_progress(self) -> int:
        """The number of responses that have not been written in full."""
        return len(self._responses)

    @property
    def is_stopping(self) -> bool:
        """Whether a shutdown with a deadline has begun."""
        return self._process.final_response_at is not None

    @property
    def is_busy(self) -> bool:
        """Whether any connection is not idle."""
        return bool(self._requests or self._responses)

    def begin_request(self) -> Activity:
        """Return the request that the calling task begins to read."""
        request = Activity(gevent.getcurrent())
        self._requests.add(request)
        return request

    def end_request(self, request: Activity) -> None:
        """Record that a request has had its response, or its refusal."""
        request.is_waiting = False
        self._requests.discard(request)

    def end_waiting(self) -> None:
        """End all requests and responses that wait."""
        run_callback = gevent.get_hub().loop.run_callback
        for activity in [*self._requests, *self._responses]:
            run_callback(activity.end)

    def wrap(self, app: Application) -> Application:
        """Return an application that counts its responses in progress.

        :param app: the WSGI application to wrap.
        """

        def wrapped(
            environ: dict[str, typing.Any], start_response: typing.Any
        ) -> Iterator[bytes]:
            response = Activity(gevent.getcurrent())
            self._responses.add(response)
            try:
                body = app(
                    environ, self._with_connection_close(start_response)
                )
            except BaseException:
                self._responses.discard(response)
                raise
            finally:
                response.is_waiting = False
            return _TrackedBody(body, response, self._responses.discard)

        return wrapped

    def _with_connection_close(self, start_response: typing.Any) -> typing.Any:
        def start(
            status: str, headers: list[tuple[str, str]], *rest: typing.Any
        ) -> typing.Any:
            if self._process.draining:
                headers = [*headers, ('Connection', 'close')]
            return start_response(status, headers, *rest)

        return start


class _TrackedBody:
    """A response body that reports when the server has finished with it."""

    def __init__(
        self,
        body: Iterable[bytes],
        response: Activity,
        on_close: Callable[[Activity], None],
    ) -> None:
        self._body = body
        self._response = response
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        response = self._response
        response.is_waiting = True
        for part in self._body:
            response.is_waiting = False
            yield part
            response.is_waiting = True
        response.is_waiting = False

    def close(self) -> None:
        """Close the body; the server calls this after the last write."""
        self._response.is_waiting = False
        try:
            close = getattr(self._body, 'close', None)
            if close is not None:
                close()
        finally:
            self._on_close(self._response)
