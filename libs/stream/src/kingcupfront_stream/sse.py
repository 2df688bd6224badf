"""Parser for server-sent events that leaves the data as bytes."""

import typing

from kingcupfront_core import errors

MAX_EVENT_BYTES = 1024 * 1024
ID_PREFIX = b'id: '
EVENT_SEPARATOR = b'\n\n'
DATA_SEPARATOR = b'\ndata: '


class EventError(errors.BadInputError):
    """Raised if an event exceeds the size limit."""

    code = 'bad_event'


class Event(typing.NamedTuple):
    """One server-sent event.

    :param id: the last ``id`` field, empty if there was none.
    :param data: the ``data`` field.
    :param type: the ``event`` field, empty for a plain message.
    """

    id: bytes
    data: bytes
    type: bytes = b''


class Parser:
    """Incremental parser that splits a byte stream into events."""

    def __init__(self) -> None:
        self._buffer = b''

    def feed(self, data: bytes) -> list[Event]:
        """Return the events completed by the received bytes.

        :param data: bytes as they arrived.
        :raises EventError: if an event is too large.
        """
        if b'\r' in data:
            data = data.replace(b'\r', b'')
        if (
            not self._buffer
            and 0 <= data.find(EVENT_SEPARATOR) == len(data) - 2
        ):
            event = _parse(data[: -len(EVENT_SEPARATOR)])
            return [] if event is None else [event]
        *blocks, self._buffer = (self._buffer + data).split(EVENT_SEPARATOR)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventError(
                f'an event has {len(self._buffer)} bytes or more, '
                f'the limit is {MAX_EVENT_BYTES}'
            )
        parsed = (_parse(block) for block in blocks)
        return [event for event in parsed if event is not None]


def _parse(block: bytes) -> Event | None:
    head, mark, data = block.partition(DATA_SEPARATOR)
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
