"""Reads a reply up to the first event that goes on with a generation.

An engine that has accepted a generation may still end or fall silent before
it sends an event of it.
"""

import dataclasses

from kingcupfront_gateway import clocks
from kingcupfront_gateway import errors
from kingcupfront_gateway import exchange
from kingcupfront_gateway import progress as progresses
from kingcupfront_gateway import server_sent_events

MIN_READ_SECONDS = 0.001


def read(
    reply: exchange.Reply,
    progress: progresses.Progress,
    timeout: float,
    more_time: exchange.MoreTime,
) -> None:
    """Read until the first event that follows what the caller has.

    What was read is returned again by the reply. The end of a reply that has
    a length or chunks is accepted as well: all events may have been sent.

    :param reply: the reply, of which only the head was read.
    :param progress: what the caller has; it is not changed.
    :param timeout: seconds to wait, counted from the send of the request.
    :param more_time: called each time that they have passed; returns for how
        many more seconds to wait.
    :raises SilentTargetError: if the event does not arrive in time.
    :raises BrokenReplyError: if the reply ends, or goes on elsewhere.
    """
    now = clocks.BOOT.monotonic
    read_data: list[bytes | None] = []
    expected = dataclasses.replace(progress)
    splitter = server_sent_events.Splitter()
    deadline = reply.sent_at + timeout
    while True:
        # What has come already is read, however late it is.
        try:
            data = reply.read_data(max(deadline - now(), MIN_READ_SECONDS))
        except errors.SilentTargetError:
            data = b''
        read_data.append(data)
        if data is None:
            break
        for event in splitter.feed(data):
            # Tokens are counted when the event is forwarded.
            expected.accept(event, 0, now())
        if expected.last_event_id != progress.last_event_id:
            break
        if now() >= deadline:
            seconds = more_time()
            if seconds <= 0:
                raise errors.SilentTargetError('no event after the head')
            deadline = now() + seconds
    is_framed_end = reply.is_framed and splitter.is_at_event_boundary
    if read_data[-1] is None and not is_framed_end:
        raise errors.BrokenReplyError('the reply ended without an event')
    reply.unread(read_data)
