"""Probes that have not been answered yet."""

from collections.abc import Iterator
import contextlib

from gevent import event

from kingcupfront_peer import heartbeat_message


class PendingProbes:
    """Matches acknowledgements with the probes that wait for them."""

    def __init__(self) -> None:
        self._results_by_number: dict[
            int, event.AsyncResult[heartbeat_message.Heartbeat]
        ] = {}

    @contextlib.contextmanager
    def track(
        self, number: int
    ) -> Iterator['event.AsyncResult[heartbeat_message.Heartbeat]']:
        """Treat a probe as pending while the block runs.

        :param number: the number of the probe.
        :returns: a result that is set when the probe is acknowledged.
        """
        result: event.AsyncResult[heartbeat_message.Heartbeat] = (
            event.AsyncResult()
        )
        self._results_by_number[number] = result
        try:
            yield result
        finally:
            del self._results_by_number[number]

    def is_pending(self, number: int) -> bool:
        """Return whether the probe of that number is pending."""
        return number in self._results_by_number

    def resolve(self, heartbeat: heartbeat_message.Heartbeat) -> None:
        """Set the result of the probe that a heartbeat acknowledges.

        :param heartbeat: the acknowledgement; its probe must be pending.
        """
        self._results_by_number[heartbeat.answers].set(heartbeat)
