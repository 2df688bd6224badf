"""Server-sent events, read from bytes without decoding the data."""

import typing

from kingcupfront_core import errors

MAX_EVENT_BYTES = 1024 * 1024
ID_PREFIX = b'id: '
BLOCK_END = b'\n\n'
DATA_MARK = b'\ndata: '


class EventError(errors.BadInputError):
    """An event that is damaged or too large."""

    code = 'bad_event'


class Event(typing.NamedTuple):
    """One event.

    :param id: the last ``id`` field, empty if there was none.
    :param data: the ``data`` field.
    :param type: the ``event`` field, empty for a plain message.
    """

    id: bytes
    data: bytes
    type: bytes = b''


class Parser:
    """Cuts a stream of bytes into events."""

    def __init__(self) -> None:
        self._rest = b''

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that these bytes complete.

        :param data: bytes as they arrived.
        :raises EventError: if an event is too large.
        """
        if b'\r' in data:
            data = data.replace(b'\r', b'')
        if not self._rest and data.find(BLOCK_END) == len(data) - 2:
            event = _parse(data[:-2])
            return [] if event is None else [event]
        *blocks, self._rest = (self._rest + data).split(BLOCK_END)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventError('an event is too large')
        parsed = (_parse(block) for block in blocks)
        return [event for event in parsed if event is not None]


def _parse(block: bytes) -> Event | None:
    head, mark, data = block.partition(DATA_MARK)
    if (
        mark
        and head.startswith(ID_PREFIX)
        and b'\n' not in head
        and b'\n' not in data
    ):
        return Event(head[len(ID_PREFIX) :], data)
    return _parse_lines(block)


def _parse_lines(block: bytes) -> Event | None:
    fields = {b'id': b'', b'event': b''}
    data = []
    for line in block.split(b'\n'):
        name, _, value = line.partition(b':')
        value = value.removeprefix(b' ')
        if name == b'data':
            data.append(value)
        elif name in fields:
            fields[name] = value
    if not data:
        return None
    return Event(fields[b'id'], b'\n'.join(data), fields[b'event'])
