"""Cuts a stream of server-sent events into whole blocks, as they came."""

import typing

MAX_BLOCK_BYTES = 1024 * 1024
EVENT_TERMINATORS = (b'\n\n', b'\r\n\r\n')
ID_FIELD = b'id:'


class Event(typing.NamedTuple):
    """One event with the bytes that it came in.

    :param id: its number, or None if it has none.
    :param data: all its bytes with the empty line at its end.
    """

    id: int | None
    data: bytes


class Splitter:
    """Collects bytes and returns the events that are whole."""

    def __init__(self) -> None:
        self._buffer = b''

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether no event is half read."""
        return not self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that these bytes complete.

        :param data: bytes as they arrived.
        """
        self._buffer += data
        blocks = []
        while (end := self._find_event_end()) is not None:
            block, self._buffer = self._buffer[:end], self._buffer[end:]
            blocks.append(Event(_event_id(block), block))
        return blocks

    def _find_event_end(self) -> int | None:
        found = [
            at + len(terminator)
            for terminator in EVENT_TERMINATORS
            if (at := self._buffer.find(terminator)) >= 0
        ]
        return min(found) if found else None


def _event_id(block: bytes) -> int | None:
    for line in block.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
