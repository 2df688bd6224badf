"""The order of the events of one generation."""

from kingcupfront_stream import sse

DONE = b'[DONE]'
NULL_FINISH = (b'"finish_reason": null', b'"finish_reason":null')
FINISH = b'"finish_reason"'


class Sequence:
    """Lets through each event of one generation, once and in order.

    An event is named ``RUN.NUMBER``. The run is the engine's own name for
    one generation in one process, so that a restarted engine that meets
    the same generation id again shows another one.

    >>> sequence = Sequence(b'run')
    >>> first = sse.Event(b'run.1', b'a')
    >>> len(sequence.take([first, first]))
    1

    :param run: the run, empty until the engine has named it.
    :param delivered: the number of the last event that was let through.
    """

    def __init__(self, run: bytes = b'', delivered: int = 0) -> None:
        self.run = run
        self.delivered = delivered
        self.ended = False
        self.dropped = 0
        self.fault = ''
        self._last = (b'', b'')
        self._seen_from = delivered
        self._expect()

    def name(self, run: bytes) -> None:
        """Take the engine's name for the run."""
        self.run = run
        self._expect()

    def renew(self) -> None:
        """Forget the fault of the last connection."""
        self.fault = ''

    def take(self, events: list[sse.Event]) -> list[sse.Event]:
        """Return the events that are next, and note what is wrong.

        Nothing is let through after a fault, nor after the end event,
        which is the last one to be returned.

        :param events: events of one connection, as they arrived.
        """
        taken = []
        for event in events:
            if event.id == self._expected and event.data != DONE:
                taken.append(event)
                self.delivered += 1
                self._expect()
                self._last = (self._last[1], event.data)
                continue
            self._judge(event)
            if self.ended:
                taken.append(event)
            if self.ended or self.fault:
                break
        return taken

    def _expect(self) -> None:
        prefix = self.run + b'.' if self.run else b''
        self._expected = b'%s%d' % (prefix, self.delivered + 1)

    @property
    def _finished(self) -> bool:
        """Whether the last token, which usage may follow, was a last one."""
        if self.delivered == self._seen_from:
            return self.delivered > 0
        return any(
            FINISH in data and not any(null in data for null in NULL_FINISH)
            for data in self._last
        )

    def _judge(self, event: sse.Event) -> None:
        run, _, number = event.id.rpartition(b'.')
        if not event.id and event.data == DONE:
            self._end(self._finished)
        elif run != self.run:
            self.fault = 'an event of another generation'
        elif not number.isdigit():
            self.fault = 'an event without a number'
        elif int(number) <= self.delivered:
            self.dropped += 1
        elif int(number) > self.delivered + 1:
            self.fault = 'an event is missing'
        else:
            self._end(self._finished)

    def _end(self, whole: bool) -> None:
        if whole:
            self.ended = True
        else:
            self.fault = 'an end before the last token'
