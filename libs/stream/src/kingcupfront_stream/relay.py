"""Passes on the events of one generation, once and in order."""

from collections.abc import Iterator

from kingcupfront_core import address
from kingcupfront_stream import engine
from kingcupfront_stream import errors
from kingcupfront_stream import sse

SILENCE_SECONDS = 10.0
MAX_RESUMES = 5


class Relay:
    """One generation on its way from an engine to a caller.

    :param client: the engines' client.
    :param target: where the engine listens.
    :param generation: the generation's id.
    :param delivered: the number of the last event that the caller has.
    """

    def __init__(
        self,
        client: engine.EngineClient,
        target: address.Address,
        generation: str,
        delivered: int = 0,
    ) -> None:
        self._client = client
        self._target = target
        self._generation = generation
        self.delivered = delivered

    def start(self, path: str, body: bytes) -> Iterator[sse.Event]:
        """Start the generation and yield its events.

        :raises RefusedError: if the engine refuses to run it.
        :raises EngineError: if nothing was delivered and it failed.
        :raises LostError: if it cannot be continued.
        """
        try:
            with self._client.start(
                self._target, path, self._generation, body, SILENCE_SECONDS
            ) as events:
                yield from self._in_order(events)
                return
        except errors.RefusedError:
            raise
        except errors.EngineError as error:
            if not error.sent:
                raise
        yield from self.resume()

    def resume(self) -> Iterator[sse.Event]:
        """Yield the events after the last delivered one.

        :raises LostError: if the generation cannot be continued.
        """
        for _ in range(MAX_RESUMES):
            try:
                with self._client.resume(
                    self._target,
                    self._generation,
                    self.delivered,
                    SILENCE_SECONDS,
                ) as events:
                    yield from self._in_order(events)
                    return
            except errors.RefusedError:
                break
            except errors.EngineError:
                continue
        raise errors.LostError(self.delivered)

    def _in_order(self, events: Iterator[sse.Event]) -> Iterator[sse.Event]:
        for event in events:
            if event.data == engine.DONE:
                yield event
                return
            if event.id.isdigit() and int(event.id) == self.delivered + 1:
                self.delivered += 1
                yield event
            elif event.id.isdigit() and int(event.id) > self.delivered:
                raise errors.EngineError('an event is missing', sent=True)
        raise errors.EngineError('the stream has no end', sent=True)
