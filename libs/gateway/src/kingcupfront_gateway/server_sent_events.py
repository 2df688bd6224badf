"""Splits a stream of server-sent events without changing their bytes."""

import typing

MAX_BLOCK_BYTES = 1024 * 1024
EVENT_TERMINATORS = (b'\n\n', b'\r\n\r\n')
ID_FIELD = b'id:'


class Event(typing.NamedTuple):
    """One event as it was received.

    :param id: the number in its ``id`` field, or None.
    :param data: all its bytes, with the empty line that ends it.
    """

    id: int | None
    data: bytes


class Splitter:
    """Buffers bytes and returns the events that are complete."""

    def __init__(self) -> None:
        self._buffer = b''

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether the bytes so far end with a complete event."""
        return not self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are completed by these bytes."""
        self._buffer += data
        events = []
        while (end := self._find_event_end()) is not None:
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(Event(_event_id(event), event))
        return events

    def _find_event_end(self) -> int | None:
        ends = [
            start + len(terminator)
            for terminator in EVENT_TERMINATORS
            if (start := self._buffer.find(terminator)) >= 0
        ]
        return min(ends) if ends else None


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
