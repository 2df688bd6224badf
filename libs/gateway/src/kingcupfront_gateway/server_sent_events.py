"""Cuts a stream of server-sent events into whole blocks, as they came."""

import typing

MAX_BLOCK_BYTES = 1024 * 1024
ENDS = (b'\n\n', b'\r\n\r\n')
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
        self._rest = b''

    @property
    def is_between(self) -> bool:
        """Whether no event is half read."""
        return not self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that these bytes complete.

        :param data: bytes as they arrived.
        """
        self._rest += data
        blocks = []
        while (end := self._end()) is not None:
            block, self._rest = self._rest[:end], self._rest[end:]
            blocks.append(Event(_number(block), block))
        return blocks

    def _end(self) -> int | None:
        found = [
            at + len(mark)
            for mark in ENDS
            if (at := self._rest.find(mark)) >= 0
        ]
        return min(found) if found else None


def _number(block: bytes) -> int | None:
    for line in block.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
