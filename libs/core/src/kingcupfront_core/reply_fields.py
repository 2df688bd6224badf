"""What fields an HTTP reply may have; used by all readers.

Libraries for HTTP accept more than the protocol allows (RFC 9110, 5 and RFC
9112, 5). ``http.client`` ends a head at the first line that is no field, so
that the fields below it, the length too, are lost. ``h11`` accepts control
characters in values. A reply outside this definition is malformed: its request
may have been executed.
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
_BLANKS = b' \t'


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
