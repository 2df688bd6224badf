"""Probes that wait for their answers."""

from collections.abc import Iterator
import contextlib

from gevent import event

from kingcupfront_peer import heartbeat_message


class PendingProbes:
    """Ties answers to the probes that wait for them."""

    def __init__(self) -> None:
        self._results_by_number: dict[
            int, event.AsyncResult[heartbeat_message.Heartbeat]
        ] = {}

    @contextlib.contextmanager
    def track(
        self, number: int
    ) -> Iterator['event.AsyncResult[heartbeat_message.Heartbeat]']:
        """Wait for the answer to a probe while the block runs.

        :param number: the number of the probe.
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
        """Return whether a probe of that number waits."""
        return number in self._results_by_number

    def resolve(self, item: heartbeat_message.Heartbeat) -> None:
        """Hand an answer to the probe that waits for it."""
        self._results_by_number[item.answers].set(item)
