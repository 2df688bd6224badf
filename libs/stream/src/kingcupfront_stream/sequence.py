"""Order and duplicate checks for the events of one generation."""

from kingcupfront_stream import sse

DONE = b'[DONE]'
NULL_FINISH = (b'"finish_reason": null', b'"finish_reason":null')
FINISH = b'"finish_reason"'


class Sequence:
    """Accepts each event of one generation once and in order.

    An event id is ``RUN.NUMBER``. The run is the engine's own identifier of
    one generation in one process. A restarted engine that gets the same
    generation id again uses another run.

    >>> sequence = Sequence(b'run')
    >>> first = sse.Event(b'run.1', b'a')
    >>> len(sequence.accept([first, first]))
    1

    :param run: the run, empty until the engine has reported it.
    :param delivered: the number of the last accepted event.
    """

    def __init__(self, run: bytes = b'', delivered: int = 0) -> None:
        self.run = run
        self.delivered = delivered
        self.ended = False
        self.dropped = 0
        self.fault = ''
        self._last_data = (b'', b'')
        self._initial_delivered = delivered
        self._update_expected_id()

    def set_run(self, run: bytes) -> None:
        """Set the run that the engine reported."""
        self.run = run
        self._update_expected_id()

    def clear_fault(self) -> None:
        """Clear the fault of the previous connection."""
        self.fault = ''

    def accept(self, events: list[sse.Event]) -> list[sse.Event]:
        """Return the events that are next in order and record any fault.

        No event is accepted after a fault or after the end event, which
        is returned as the last one.

        :param events: events of one connection, as they arrived.
        """
        accepted = []
        for event in events:
            if event.id == self._expected_id and event.data != DONE:
                accepted.append(event)
                self.delivered += 1
                self._update_expected_id()
                self._last_data = (self._last_data[1], event.data)
                continue
            self._classify(event)
            if self.ended:
                accepted.append(event)
            if self.ended or self.fault:
                break
        return accepted

    def _update_expected_id(self) -> None:
        prefix = self.run + b'.' if self.run else b''
        self._expected_id = b'%s%d' % (prefix, self.delivered + 1)

    @property
    def _has_finish_reason(self) -> bool:
        """Whether one of the last two events has a finish reason.

        The last token may be followed by a usage event. If no event was
        accepted yet, earlier delivered events are taken to be complete.
        """
        if self.delivered == self._initial_delivered:
            return self.delivered > 0
        return any(
            FINISH in data and not any(null in data for null in NULL_FINISH)
            for data in self._last_data
        )

    def _classify(self, event: sse.Event) -> None:
        run, _, number = event.id.rpartition(b'.')
        if not event.id and event.data == DONE:
            self._end(self._has_finish_reason)
        elif run != self.run:
            self.fault = 'an event of another generation'
        elif not number.isdigit():
            self.fault = 'an event without a number'
        elif int(number) <= self.delivered:
            self.dropped += 1
        elif int(number) > self.delivered + 1:
            self.fault = 'an event is missing'
        else:
            self._end(self._has_finish_reason)

    def _end(self, finished: bool) -> None:
        if finished:
            self.ended = True
        else:
            self.fault = 'an end before the last token'
