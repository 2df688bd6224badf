"""What fields and framing an HTTP reply may have; used by all readers.

Libraries for HTTP accept more than the protocol allows (RFC 9110, 5 and RFC
9112, 5 to 7). ``http.client`` ends a head at the first line that is no field,
so that the fields below it, the length too, are lost; it reads lengths and
chunk sizes as Python reads numbers. ``h11`` accepts control characters in
values. A reply outside this definition is malformed: its request may have been
executed.
"""

from collections.abc import Iterable
import re

from kingcupfront_core import reply_status

Field = tuple[bytes, bytes]

# Characters that a value and a line that continues it may hold.
_TEXT = rb'[\t\x20-\x7e\x80-\xff]*'
_NAME = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_FIELD_LINE = re.compile(rb'(?P<name>%b):(?P<value>%b)\r?\n' % (_NAME, _TEXT))
_CONTINUATION_LINE = re.compile(rb'[ \t](?P<value>%b)\r?\n' % _TEXT)
_VALUE = re.compile(_TEXT)
# Longer numbers do not fit in 64 bits.
_LENGTH = re.compile(rb'[0-9]{1,18}')
_CHUNK_SIZE = re.compile(rb'(?P<size>[0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?')
_BLANKS = b' \t'
_LENGTH_NAME = b'content-length'
_CODING_NAME = b'transfer-encoding'
_CHUNKED = b'chunked'


def read(lines: Iterable[bytes]) -> list[Field]:
    """Return the fields in the lines of a head or of trailers.

    A value that is continued on the next line is joined by a blank.

    :param lines: the lines with their ends, without the blank one at the end.
    :raises MalformedReplyError: if a line is not a field.
    """
    fields: list[Field] = []
    for line in lines:
        if match := _FIELD_LINE.fullmatch(line):
            fields.append((match['name'], match['value'].strip(_BLANKS)))
        elif fields and (match := _CONTINUATION_LINE.fullmatch(line)):
            name, value = fields[-1]
            more = match['value'].strip(_BLANKS)
            fields[-1] = name, (value + b' ' + more).strip(_BLANKS)
        else:
            raise reply_status.MalformedReplyError(
                f'not a field: {line[:100]!r}'
            )
    return fields


def check_values(fields: Iterable[Field]) -> None:
    """Check the values of fields that a library has parsed.

    :raises MalformedReplyError: if one holds a control character.
    """
    for name, value in fields:
        if _VALUE.fullmatch(value) is None:
            raise reply_status.MalformedReplyError(
                f'a control character in the value of {name!r}'
            )


def normalize_framing(fields: Iterable[Field]) -> list[Field]:
    """Return the fields with one length at most.

    The same length may be stated several times.

    :raises MalformedReplyError: if there are different lengths, one that is
        not a number, or any coding other than chunks.
    """
    others: list[Field] = []
    lengths: set[bytes] = set()
    codings: list[bytes] = []
    for name, value in fields:
        if name.lower() == _LENGTH_NAME:
            lengths |= {part.strip(_BLANKS) for part in value.split(b',')}
            continue
        if name.lower() == _CODING_NAME:
            codings.append(value.lower())
        others.append((name, value))
    if len(lengths) > 1 or any(map(_is_no_length, lengths)):
        raise reply_status.MalformedReplyError(
            f'lengths {b", ".join(sorted(lengths))[:100]!r}'
        )
    if codings not in ([], [_CHUNKED]):
        raise reply_status.MalformedReplyError(
            f'codings {b", ".join(codings)[:100]!r}'
        )
    return [*others, *((_LENGTH_NAME, length) for length in lengths)]


def _is_no_length(value: bytes) -> bool:
    return _LENGTH.fullmatch(value) is None


def read_chunk_size(line: bytes) -> int:
    """Return the bytes of a chunk, as stated in the line before it.

    :param line: the line without its end.
    :raises MalformedReplyError: if it states no size.
    """
    match = _CHUNK_SIZE.fullmatch(line)
    if match is None:
        raise reply_status.MalformedReplyError(
            f'not the size of a chunk: {line[:100]!r}'
        )
    return int(match['size'], 16)
