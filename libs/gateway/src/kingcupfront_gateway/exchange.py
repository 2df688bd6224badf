"""Sends a request to a target once and validates the reply."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import typing

from kingcupfront_decisions import software_versions
from kingcupfront_gateway import adapter
from kingcupfront_gateway import caller
from kingcupfront_gateway import candidates
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import reports
from kingcupfront_gateway import request_record
from kingcupfront_gateway import target_signs
from kingcupfront_gateway import targets
from kingcupfront_gateway import upstream
from kingcupfront_gateway import warmth

Watching = Callable[
    [upstream.UpstreamConnection], contextlib.AbstractContextManager[None]
]
# Returns for how many more seconds to wait for the head of a reply whose
# time-out has passed; 0 or less to give up.
MoreTime = Callable[[], float]
Result = typing.TypeVar('Result')
FRAMING_HEADERS = (b'content-length', b'transfer-encoding')
# The same plan is tried several times within a second.
BACKUP_REPORT_MAX_AGE_SECONDS = 0.5
# The most late replies to earlier requests that are discarded.
MAX_STRAY_REPLIES = 2


@dataclasses.dataclass
class Reply:
    """A reply whose head matches the request.

    :param connection: the connection from which its body is read.
    :param is_complete: whether all of it was read.
    :param has_backup: whether the engine was asked to keep a backup.
    :param sent_at: the monotonic time at which the request was written.
    :param target_id: the id of the target that sent it.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    metadata: adapter.ReplyMetadata
    connection: upstream.UpstreamConnection
    is_complete: bool = False
    has_backup: bool = False
    sent_at: float = 0.0
    target_id: str = ''
    _unread: collections.deque[bytes | None] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def is_success(self) -> bool:
        """Whether the status is one of success."""
        return 200 <= self.status < 300

    @property
    def is_framed(self) -> bool:
        """Whether its length or a last chunk marks its end."""
        return any(name.lower() in FRAMING_HEADERS for name, _ in self.headers)

    def read_data(self, timeout: float) -> bytes | None:
        """Return the next bytes of the body, or None at its end.

        :param timeout: seconds without a byte after which to give up. The
            call may then be repeated.
        :raises SilentTargetError: if nothing arrives in time.
        :raises BrokenReplyError: if the reply is truncated or malformed.
        """
        if self._unread:
            return self._unread.popleft()
        return self.connection.read_data(timeout)

    def unread(self, parts: Iterable[bytes | None]) -> None:
        """Let the next calls of ``read_data`` return what it has returned."""
        self._unread.extend(parts)

    def read_body(self, timeout: float) -> bytes:
        """Read the rest of the reply.

        :param timeout: seconds of silence after which to give up.
        """
        body = self.connection.read_body(timeout)
        self.is_complete = True
        return body


@contextlib.contextmanager
def send_request(
    process: gateway.Gateway,
    state: targets.TargetState,
    request: caller.Request,
    metadata: adapter.RequestMetadata,
    admitted: gateway.Admission,
    attempt: adapter.Attempt,
    record: request_record.RequestRecord,
    *,
    timeout: float,
    watching: Watching = contextlib.nullcontext,
    begun: software_versions.Begun | None = None,
    more_time: MoreTime | None = None,
) -> Iterator[Reply]:
    """Send a request and yield its reply, whose body is still to be read.

    The connection returns to the pool if the block reads the whole reply;
    otherwise it is closed.

    No connection carries the same request twice: a faulty target may repeat
    its reply to the first attempt, and the request's id would match.

    :param admitted: the admission of the request.
    :param attempt: the attempt; its backup is left out if it is forbidden by
        the time of the send.
    :param record: remembers the connections that carried the request.
    :param timeout: seconds to wait for the reply's head.
    :param watching: a context in which the reply is read; it may abort the
        connection.
    :param begun: how the request's stream began; None before its first event.
    :param more_time: called each time that the time-out has passed; None to
        give up then.
    :raises TargetError: if no reply that matches the request arrives.
    """
    target_signs.raise_if_silenced(state, process.clock.monotonic())
    candidates.raise_if_forbidden(process, admitted, state, begun)
    if begun is not None:
        _ask_for_start(process, state, attempt.copy)
    reply = None
    connection = None
    state.in_flight += 1
    try:
        connection = process.pool.acquire(
            attempt.target,
            process.clock.monotonic(),
            avoid=record.connections,
        )
        # The connection may have taken a while to open.
        candidates.raise_if_forbidden(process, admitted, state, begun)
        warmth.acquire(process, state)
        attempt = _without_forbidden_backup(process, admitted, attempt)
        record.connections.append(connection)
        with watching(connection):
            sent_at = process.clock.monotonic()
            connection.send(
                request.method,
                request.target,
                process.platform.request_headers(metadata, attempt),
                request.body,
                # The wait for the head may go on beyond its time-out.
                max(timeout, attempt.seconds_left),
            )
            reply = _read_matching_head(
                process, connection, request, metadata, timeout, more_time
            )
            reply.sent_at = sent_at
            reply.target_id = state.target.id
            reply.has_backup = attempt.backup is not None
            target_signs.apply(
                process, state, reply.metadata, metadata.request_id
            )
            _raise_if_not_executed(reply, timeout)
            yield reply
    finally:
        state.in_flight -= 1
        process.targets.notify()
        if reply is not None and reply.is_complete:
            process.pool.release(
                attempt.target,
                connection,
                reply.metadata.idle_seconds,
                process.clock.monotonic(),
            )
        elif connection is not None:
            connection.close()


def _ask_for_start(
    process: gateway.Gateway,
    state: targets.TargetState,
    copy: adapter.CacheCopy | None,
) -> None:
    """Ask an engine for its start before a begun stream is sent to it.

    One that is not listed yet would carry the stream on. A migration has
    asked its destination already. One that keeps a backup is not refused if
    it does not answer: the stream often has no other way to go on.

    :raises TargetError: if it has to tell its start and does not.
    """
    if copy is None:
        reports.confirm_start(process, state)
    elif copy.address == state.target.address:
        reports.refresh(process, [state], BACKUP_REPORT_MAX_AGE_SECONDS)


def _without_forbidden_backup(
    process: gateway.Gateway,
    admitted: gateway.Admission,
    attempt: adapter.Attempt,
) -> adapter.Attempt:
    if attempt.backup is None or candidates.may_reach_zone(
        process, admitted, attempt.backup.zone
    ):
        return attempt
    return dataclasses.replace(attempt, backup=None)


def _read_matching_head(
    process: gateway.Gateway,
    connection: upstream.UpstreamConnection,
    request: caller.Request,
    metadata: adapter.RequestMetadata,
    timeout: float,
    more_time: MoreTime | None,
) -> Reply:
    deadline = process.clock.monotonic() + timeout

    def read(call: Callable[[float], Result]) -> Result:
        """Make a call with the seconds that are left, until there are none."""
        nonlocal deadline
        while True:
            try:
                return call(deadline - process.clock.monotonic())
            except errors.SilentTargetError:
                seconds = more_time() if more_time is not None else 0.0
                if seconds <= 0:
                    raise
                deadline = process.clock.monotonic() + seconds

    for stray_replies in range(MAX_STRAY_REPLIES + 1):
        head = read(connection.read_head)
        reply_metadata = process.platform.read_reply(head.status, head.headers)
        # A refusal without an id belongs to this request only if there was no
        # earlier request on the connection that it may belong to.
        is_own_refusal = (
            reply_metadata.not_executed
            and reply_metadata.request_id is None
            and connection.is_first_request
            and not stray_replies
        )
        if is_own_refusal or reply_metadata.request_id == metadata.request_id:
            return Reply(head.status, head.headers, reply_metadata, connection)
        read(lambda left: connection.discard_reply(left, request.body))
    raise errors.BrokenReplyError(
        f'{MAX_STRAY_REPLIES + 1} replies to other requests'
    )


def _raise_if_not_executed(reply: Reply, timeout: float) -> None:
    if not reply.metadata.not_executed:
        return
    reply.read_body(timeout)
    raise errors.RejectedError(
        f'not executed: status {reply.status}',
        misdirected=reply.metadata.is_misdirected,
    )
