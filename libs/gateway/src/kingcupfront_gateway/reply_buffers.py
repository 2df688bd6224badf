"""Bounds the memory of replies that are buffered at the same time.

Load pattern: a faulty target sends bodies without end to many requests at
once. Each is cut off at its own limit, but together they exceed the memory of
the process, and the requests of all callers end with it.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

# If the platform states no limit of memory.
DEFAULT_LIMIT_BYTES = 16 * 1024 * 1024
# The part of the process's memory that replies may take.
MEMORY_PART = 1 / 8


@dataclasses.dataclass(eq=False)
class Buffer:
    """The bytes of one reply that were received so far.

    :param cut_off: ends the reply; called at most once.
    """

    cut_off: Callable[[], None]
    size: int = 0
    is_cut_off: bool = False


class ReplyBuffers:
    """Counts the bytes in all buffers and cuts off the largest reply.

    :param limit: the most bytes that all buffers may hold together.
    """

    def __init__(self, limit: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit = limit
        self.total = 0
        self._open: list[Buffer] = []

    @contextlib.contextmanager
    def open(self, cut_off: Callable[[], None]) -> Iterator[Buffer]:
        """Yield a buffer that counts while the block runs."""
        buffer = Buffer(cut_off)
        self._open.append(buffer)
        try:
            yield buffer
        finally:
            self._open.remove(buffer)
            self.total -= buffer.size

    def grow(self, buffer: Buffer, size: int) -> None:
        """Count more bytes in a buffer.

        Replies that a target sends without end are the largest ones, so those
        of sound targets are spared.
        """
        buffer.size += size
        self.total += size
        while self.total - self._ending_bytes > self.limit:
            largest = max(
                (b for b in self._open if not b.is_cut_off),
                key=lambda b: b.size,
            )
            largest.is_cut_off = True
            largest.cut_off()

    @property
    def _ending_bytes(self) -> int:
        """The bytes of replies that were cut off and are about to be freed."""
        return sum(b.size for b in self._open if b.is_cut_off)
