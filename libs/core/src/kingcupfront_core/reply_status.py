"""What the status of a final HTTP reply may be; used by all readers.

Libraries for HTTP accept more than the protocol allows: ``http.client`` reads
``+200`` and ``2_00`` as 200 and returns 101 or 199 as final, and ``h11``
accepts up to 999. A status outside this definition is no reply: the request
may have been executed.
"""

import re

MIN_INFORMATIONAL = 100
MIN_FINAL = 200
MAX_FINAL = 599
SWITCHING_PROTOCOLS = 101
# Replies with these statuses end with their head.
BODILESS = frozenset({204, 304})
NO_CONTENT = 204
HEAD_START = b'HTTP/1.'
# Informational heads that may come before a final one.
MAX_INFORMATIONAL_HEADS = 16
# The reason may be missing, and the blank before it, too.
_STATUS_LINE = re.compile(
    rb'HTTP/1\.[0-9] (?P<status>[0-9]{3})(?: [\t\x20-\x7e\x80-\xff]*)?\r?\n?'
)


class MalformedReplyError(ValueError):
    """A reply whose status or framing the protocol does not allow."""


def read_status_line(line: bytes) -> int:
    """Return the status of a status line.

    :param line: the line, with or without its end.
    :raises MalformedReplyError: if it is no status line of a reply.
    """
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        raise MalformedReplyError(f'not a status line: {line[:100]!r}')
    return int(match['status'])


def check(status: int) -> bool:
    """Return whether a status is final; if not, it is informational.

    No request of ours asks for another protocol, so that 101 is malformed.

    :raises MalformedReplyError: if it is neither.
    """
    if MIN_FINAL <= status <= MAX_FINAL:
        return True
    if status == SWITCHING_PROTOCOLS:
        raise MalformedReplyError('status 101 without a request for it')
    if MIN_INFORMATIONAL <= status < MIN_FINAL:
        return False
    raise MalformedReplyError(f'status {status:03} of a reply')


def check_informational_heads(count: int) -> None:
    """Check the number of informational heads before a final one.

    :raises MalformedReplyError: if there are too many.
    """
    if count > MAX_INFORMATIONAL_HEADS:
        raise MalformedReplyError(
            f'over {MAX_INFORMATIONAL_HEADS} informational heads'
        )


def check_body(
    status: int, length: str | None, encoding: str | None, rest: bytes
) -> None:
    """Check that a reply that must have no body has none.

    The headers of a 304 are those of the reply without the condition, so that
    it may have a length. A 204 may have none but 0, which many servers send.

    Bytes that begin the head of another reply are not a body; whether that
    reply is expected is for the reader to decide.

    :param status: the status of the reply.
    :param length: its header Content-Length, or None.
    :param encoding: its header Transfer-Encoding, or None.
    :param rest: bytes that arrived after its head.
    :raises MalformedReplyError: if it has a body.
    """
    if status not in BODILESS:
        return
    is_framed = encoding is not None or (length or '0').strip() != '0'
    has_body = bool(rest) and not rest.startswith(HEAD_START)
    if has_body or (status == NO_CONTENT and is_framed):
        raise MalformedReplyError(f'a reply of status {status} with a body')
