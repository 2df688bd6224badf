"""A buffer that grows by blocks of one size.

One long block that grows beside others is moved again and again, and the
holes that it leaves fit none of them: the process then takes several times the
bytes that it holds.
"""

BLOCK_BYTES = 64 * 1024


class BlockBuffer:
    """Bytes that arrive in pieces of any size."""

    def __init__(self) -> None:
        self.size = 0
        self._blocks: list[bytearray] = []

    def append(self, data: bytes | bytearray) -> None:
        """Add bytes at the end."""
        if not self._blocks or len(self._blocks[-1]) >= BLOCK_BYTES:
            self._blocks.append(bytearray())
        self._blocks[-1] += data
        self.size += len(data)

    def take(self) -> bytes:
        """Return all bytes and empty the buffer."""
        data = b''.join(self._blocks)
        self.clear()
        return data

    def clear(self) -> None:
        """Empty the buffer."""
        self._blocks.clear()
        self.size = 0
