"""Checks of the heads and trailers of replies that ``h11`` has parsed."""

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib

import h11

from kingcupfront_core import reply_fields
from kingcupfront_core import reply_status
from kingcupfront_gateway import errors


def is_final(
    head: h11.Response | h11.InformationalResponse,
    informational_heads: int,
    rest: bytes,
) -> bool:
    """Return whether a head is that of a final reply.

    :param head: the parsed head.
    :param informational_heads: the number of those before it.
    :param rest: bytes that arrived after it.
    :raises BrokenReplyError: if the protocol does not allow it.
    """
    values_by_name = {n: v.decode('latin-1') for n, v in head.headers}
    version, reason = head.http_version, head.reason
    line = b'HTTP/%b %03d %b' % (version, head.status_code, reason)
    with _checking():
        status = reply_status.read_status_line(line)
        reply_fields.check_values(head.headers)
        if not reply_status.check(status):
            reply_status.check_informational_heads(informational_heads + 1)
            return False
        reply_status.check_body(
            status,
            values_by_name.get(b'content-length'),
            values_by_name.get(b'transfer-encoding'),
            rest,
        )
    return True


def check_trailers(trailers: Iterable[reply_fields.Field]) -> None:
    """Check the fields after a body in chunks.

    :raises BrokenReplyError: if the protocol does not allow them.
    """
    with _checking():
        reply_fields.check_values(trailers)


@contextlib.contextmanager
def _checking() -> Iterator[None]:
    try:
        yield
    except reply_status.MalformedReplyError as error:
        raise errors.BrokenReplyError(str(error)) from error
