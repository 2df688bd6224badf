"""Relays the events of one generation, each once and in order."""

from collections.abc import Iterator
import random
import time

from kingcupfront_core import address
from kingcupfront_core import clock
from kingcupfront_stream import connection
from kingcupfront_stream import engine
from kingcupfront_stream import errors
from kingcupfront_stream import read_timeout
from kingcupfront_stream import resume_policy
from kingcupfront_stream import sequence
from kingcupfront_stream import sse


class Relay:
    """Relays one generation from an engine to a caller.

    :param client: the engines' client.
    :param target: where the engine listens.
    :param generation: the generation's id.
    :param run: the engine's name for the run, if it is known.
    :param delivered: the number of the last event that the caller has.
    :param deadline: deadline of the first token, in monotonic seconds.
    :param system_clock: the clock.
    """

    def __init__(
        self,
        client: engine.EngineClient,
        target: address.Address,
        generation: str,
        *,
        run: bytes = b'',
        delivered: int = 0,
        deadline: float = float('inf'),
        system_clock: clock.Clock = clock.SYSTEM,
    ) -> None:
        self._client = client
        self.target = target
        self.generation = generation
        self._clock = system_clock
        self._sequence = sequence.Sequence(run, delivered)
        self._read_timeout = read_timeout.AdaptiveReadTimeout()
        self._resume_policy = resume_policy.ResumePolicy(
            system_clock, random.Random(), deadline
        )
        self.resumes = 0
        self.gap = 0.0
        self.reader = ''
        self._waits_since = system_clock.monotonic()

    @property
    def delivered(self) -> int:
        """The number of the last event that was relayed."""
        return self._sequence.delivered

    @property
    def run(self) -> bytes:
        """The engine's name for the run, empty before the first response."""
        return self._sequence.run

    def start(
        self, path: str, body: bytes, prefix: tuple[int, ...] = ()
    ) -> Iterator[list[sse.Event]]:
        """Start the generation and yield events in batches as they arrive.

        An empty batch means that a read timed out.

        :param path: the path of the API.
        :param body: the request's JSON.
        :param prefix: hashes of the prompt's leading blocks.
        :raises RefusedError: if the engine refuses to run it.
        :raises UnreachableError: if no byte was sent.
        :raises LostError: if it cannot be continued.
        """
        try:
            with self._client.start(
                self.target,
                path,
                self.generation,
                body,
                self._read_timeout.seconds,
                prefix,
            ) as reader:
                yield from self._relay_events(reader)
            return
        except (errors.RefusedError, errors.UnreachableError):
            raise
        except errors.EngineError as error:
            yield from self._recover(error)

    def resume(self) -> Iterator[list[sse.Event]]:
        """Yield the events after the last delivered one.

        :raises LostError: if the generation cannot be continued.
        """
        try:
            yield from self._reconnect()
        except errors.EngineError as error:
            yield from self._recover(error)

    def _reconnect(self) -> Iterator[list[sse.Event]]:
        self.resumes += 1
        self._sequence.clear_fault()
        with self._client.resume(
            self.target,
            self.generation,
            self._sequence.run,
            self._sequence.delivered,
            self._read_timeout.seconds,
        ) as reader:
            yield from self._relay_events(reader)

    def _recover(self, error: errors.EngineError) -> Iterator[list[sse.Event]]:
        while True:
            if isinstance(error, errors.SilentError):
                self._read_timeout.double()
                yield []
            delay = self._resume_policy.delay(error)
            if delay is None:
                raise errors.LostError(self.delivered, str(error))
            time.sleep(delay)
            try:
                yield from self._reconnect()
                return
            except errors.EngineError as newer:
                error = newer

    def _relay_events(
        self, reader: connection.Reader
    ) -> Iterator[list[sse.Event]]:
        events_sequence = self._sequence
        self._check_run(reader)
        self.reader = reader.number
        asked_at = self._clock.monotonic()
        while not events_sequence.ended:
            bound = min(
                self._read_timeout.seconds,
                self._resume_policy.first_token_seconds_left,
            )
            events = reader.read(bound)
            if not events:
                raise errors.BrokenError(
                    'the stream ended without an end event after event '
                    f'{events_sequence.delivered}'
                )
            if accepted := events_sequence.accept(events):
                now = self._clock.monotonic()
                # Karn's algorithm: only gaps within one connection count.
                self._read_timeout.observe(now - asked_at)
                self._resume_policy.record_progress()
                self.gap = now - self._waits_since
                yield accepted
                asked_at = self._waits_since = self._clock.monotonic()
            if events_sequence.fault:
                raise errors.BrokenError(events_sequence.fault)

    def _check_run(self, reader: connection.Reader) -> None:
        if not self._sequence.run:
            self._sequence.set_run(reader.run)
        elif reader.run and reader.run != self._sequence.run:
            raise errors.RefusedError(
                'the engine answered for another run of the generation',
                409,
                b'',
            )
