"""Takes the chunk sizes out of an HTTP body, for whatever has arrived.

The standard library reads one chunk a call and its size byte by byte or
line by line, which was the largest cost of a token. Only sizes are read
here (RFC 9112, 7.1); the head of the answer is the libraries' work.
"""

from kingcupfront_core import errors

LINE_END = b'\r\n'
MAX_SIZE_DIGITS = 8
MAX_LINE_BYTES = 256
HEXADECIMAL = frozenset(b'0123456789abcdefABCDEF')


class ChunkError(errors.BadInputError):
    """A body whose chunks are damaged."""

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
        self._rest = b''

    def feed(self, data: bytes) -> bytes:
        """Return the part of the body in these bytes.

        :param data: bytes as they arrived.
        :raises ChunkError: if a chunk is damaged.
        """
        data = self._rest + data if self._rest else data
        whole = self._whole_chunk(data)
        if whole:
            return whole
        parts = []
        at = 0
        while not self.ended:
            if self._left:
                part = data[at : at + self._left]
                if not part:
                    break
                parts.append(part)
                at += len(part)
                self._left -= len(part)
                self._after_chunk = True
                continue
            end = self._size_at(data, at)
            if end is None:
                break
            at = end
        self._rest = b'' if self.ended else data[at:]
        if len(self._rest) > MAX_LINE_BYTES:
            raise ChunkError('a chunk has no size')
        return parts[0] if len(parts) == 1 else b''.join(parts)

    def _whole_chunk(self, data: bytes) -> bytes:
        """Return the body if the bytes are one chunk, as they mostly are."""
        if self._left or self._after_chunk or not data.endswith(LINE_END):
            return b''
        end = data.find(LINE_END)
        size = _size(data[:end])
        if not size or len(data) != end + size + 2 * len(LINE_END):
            return b''
        self._rest = b''
        return data[end + len(LINE_END) : -len(LINE_END)]

    def _size_at(self, data: bytes, at: int) -> int | None:
        """Read the size that stands there; return where it ends."""
        begin = at
        if self._after_chunk:
            begin = at + len(LINE_END)
            if len(data) < begin:
                return None
            if data[at:begin] != LINE_END:
                raise ChunkError('a chunk is longer than its size')
        end = data.find(LINE_END, begin)
        if end < 0:
            return None
        self._left = _size(data[begin:end])
        self._after_chunk = False
        self.ended = not self._left
        return end + len(LINE_END)


def _size(line: bytes) -> int:
    digits = line.partition(b';')[0].strip()
    if not 0 < len(digits) <= MAX_SIZE_DIGITS or not HEXADECIMAL.issuperset(
        digits
    ):
        raise ChunkError('a chunk has no size')
    return int(digits, 16)
