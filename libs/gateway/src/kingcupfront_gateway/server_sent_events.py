"""Splits a stream of server-sent events without changing their bytes."""

import re
import typing

from kingcupfront_gateway import errors

MAX_EVENT_BYTES = 1024 * 1024
EVENT_END = re.compile(rb'\n\n|\r\n\r\n')
MAX_EVENT_END_BYTES = 4
ID_FIELD = b'id:'
# Longer numbers do not fit in 64 bits.
MAX_ID_DIGITS = 18


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
        self._buffer = bytearray()
        # The bytes before this position hold no end of an event.
        self._search_start = 0

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether the bytes so far end with a complete event."""
        return not self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are completed by these bytes.

        :raises BrokenReplyError: if an event is over ``MAX_EVENT_BYTES``.
        """
        self._buffer += data
        events = []
        start = 0
        for end in EVENT_END.finditer(self._buffer, self._search_start):
            event = bytes(self._buffer[start : end.end()])
            events.append(Event(_event_id(event), event))
            start = end.end()
        del self._buffer[:start]
        self._search_start = max(
            0, len(self._buffer) - MAX_EVENT_END_BYTES + 1
        )
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise errors.BrokenReplyError(
                f'no end of an event within {len(self._buffer)} bytes'
            )
        return events


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            is_number = text.isdigit() and len(text) <= MAX_ID_DIGITS
            return int(text) if is_number else None
    return None
