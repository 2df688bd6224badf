"""Incremental decoder for HTTP bodies with chunked transfer coding.

The standard library reads one chunk per call, and its size byte by byte or
line by line, which was the largest cost of a token. This module only parses
the chunks; the definition of their sizes is the one of all readers, and the
libraries parse the head of the response.
"""

from kingcupfront_core import errors
from kingcupfront_core import reply_fields
from kingcupfront_core import reply_status

LINE_END = b'\r\n'
MAX_SIZE = 0xFFFFFFFF
MAX_LINE_BYTES = 256


class ChunkError(errors.BadInputError):
    """Raised if the chunks of a body are malformed."""

    code = 'bad_chunk'


class Decoder:
    r"""Decodes one chunked body.

    >>> decoder = Decoder()
    >>> decoder.feed(b'5\r\nhel'), decoder.feed(b'lo\r\n0\r\n\r\n')
    (b'hel', b'lo')
    >>> decoder.ended
    True
    """

    def __init__(self) -> None:
        self.ended = False
        self._left = 0
        self._after_chunk = False
        self._buffer = b''

    def feed(self, data: bytes) -> bytes:
        """Return the body bytes contained in the received bytes.

        :param data: bytes as they arrived.
        :raises ChunkError: if a chunk is malformed.
        """
        data = self._buffer + data if self._buffer else data
        whole = self._decode_single_chunk(data)
        if whole:
            return whole
        parts = []
        position = 0
        while not self.ended:
            if self._left:
                part = data[position : position + self._left]
                if not part:
                    break
                parts.append(part)
                position += len(part)
                self._left -= len(part)
                self._after_chunk = True
                continue
            end = self._read_size(data, position)
            if end is None:
                break
            position = end
        self._buffer = b'' if self.ended else data[position:]
        if len(self._buffer) > MAX_LINE_BYTES:
            raise ChunkError(
                f'no line end within {len(self._buffer)} bytes of a chunk size'
            )
        return parts[0] if len(parts) == 1 else b''.join(parts)

    def _decode_single_chunk(self, data: bytes) -> bytes:
        """Fast path: return the body if the bytes are exactly one chunk."""
        if self._left or self._after_chunk or not data.endswith(LINE_END):
            return b''
        end = data.find(LINE_END)
        size = _parse_size(data[:end])
        if not size or len(data) != end + size + 2 * len(LINE_END):
            return b''
        self._buffer = b''
        return data[end + len(LINE_END) : -len(LINE_END)]

    def _read_size(self, data: bytes, position: int) -> int | None:
        """Parse the chunk size at a position and return where it ends."""
        begin = position
        if self._after_chunk:
            begin = position + len(LINE_END)
            if len(data) < begin:
                return None
            if data[position:begin] != LINE_END:
                raise ChunkError('no line end after the data of a chunk')
        end = data.find(LINE_END, begin)
        if end < 0:
            return None
        self._left = _parse_size(data[begin:end])
        self._after_chunk = False
        self.ended = not self._left
        return end + len(LINE_END)


def _parse_size(line: bytes) -> int:
    try:
        size = reply_fields.read_chunk_size(line)
    except reply_status.MalformedReplyError as error:
        raise ChunkError(str(error)) from error
    if size > MAX_SIZE:
        raise ChunkError(f'a chunk of over {MAX_SIZE} bytes')
    return size
