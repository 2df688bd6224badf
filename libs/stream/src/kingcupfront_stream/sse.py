"""Server-sent events, read from bytes without decoding the data."""

from collections.abc import Iterator
import typing

from kingcupfront_core import errors

MAX_EVENT_BYTES = 1024 * 1024


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

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yield the events that these bytes complete.

        :param data: bytes as they arrived.
        :raises EventError: if an event is too large.
        """
        *blocks, self._rest = (self._rest + data).split(b'\n\n')
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventError('an event is too large')
        for block in blocks:
            event = _parse(block)
            if event is not None:
                yield event


def _parse(block: bytes) -> Event | None:
    fields = {b'id': b'', b'event': b''}
    data = []
    for line in block.split(b'\n'):
        name, _, value = line.rstrip(b'\r').partition(b':')
        value = value.removeprefix(b' ')
        if name == b'data':
            data.append(value)
        elif name in fields:
            fields[name] = value
    if not data:
        return None
    return Event(fields[b'id'], b'\n'.join(data), fields[b'event'])
