"""The signal that tells the process to stop, and when it arrived."""

from collections.abc import Iterator
import contextlib
import signal
import typing

import gevent
from gevent import event

from kingcupfront_core import clock as clocks

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Set by the first signal to stop; later ones change nothing.

    :param clock: measures when the signal arrived.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._event = event.Event()
        # Monotonic time; None until the signal arrives.
        self.arrived_at: float | None = None

    def record(self, *_: object) -> None:
        """Note that the signal has arrived."""
        if self.arrived_at is None:
            self.arrived_at = self._clock.monotonic()

    def announce(self) -> None:
        """Wake the task that waits for the signal."""
        self._event.set()

    @property
    def is_set(self) -> bool:
        """Whether the signal has arrived."""
        return self.arrived_at is not None

    def wait(self, timeout: float | None = None) -> None:
        """Wait until the signal has arrived.

        :param timeout: seconds after which to give up; None for never.
        """
        self._event.wait(timeout)


Kind = typing.TypeVar('Kind', bound=StopSignal)


@contextlib.contextmanager
def handled(
    clock: clocks.Clock, kind: type[Kind] = StopSignal
) -> Iterator[Kind]:
    """Handle SIGTERM and SIGINT while the block runs.

    A handler of the interpreter runs between two instructions of whichever
    task is running; one of the event loop waits until all tasks that are
    ready have run.

    :param clock: measures when the signal arrives.
    :param kind: what to make of the signals.
    """
    stop = kind(clock)
    wake = gevent.get_hub().loop.async_()
    wake.start(stop.announce)

    def handle(*_: object) -> None:
        stop.record()
        wake.send()

    previous = {
        number: signal.signal(number, handle) for number in STOP_SIGNALS
    }
    try:
        yield stop
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)
        wake.stop()
        wake.close()
