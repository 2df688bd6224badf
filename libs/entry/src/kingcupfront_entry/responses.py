"""Counts the responses that have not been written in full."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import typing

from kingcupfront_entry import state

Application = Callable[[dict[str, typing.Any], typing.Any], Iterable[bytes]]


class ResponseTracker:
    """Tracks the responses of a WSGI application for a graceful shutdown.

    While the process drains, each response asks its caller to close the
    connection, so that the next request reaches another entry.

    :param process: the state of the process.
    """

    def __init__(self, process: state.State) -> None:
        self._process = process
        self.in_progress = 0

    def wrap(self, app: Application) -> Application:
        """Return an application that counts its responses in progress.

        :param app: the WSGI application to wrap.
        """

        def wrapped(
            environ: dict[str, typing.Any], start_response: typing.Any
        ) -> Iterator[bytes]:
            self.in_progress += 1
            try:
                body = app(
                    environ, self._with_connection_close(start_response)
                )
            except BaseException:
                self.in_progress -= 1
                raise
            return _TrackedBody(body, self._count_ended)

        return wrapped

    def _count_ended(self) -> None:
        self.in_progress -= 1

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
        self, body: Iterable[bytes], on_close: Callable[[], None]
    ) -> None:
        self._body = body
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """Close the body; the server calls this after the last write."""
        try:
            close = getattr(self._body, 'close', None)
            if close is not None:
                close()
        finally:
            self._on_close()
