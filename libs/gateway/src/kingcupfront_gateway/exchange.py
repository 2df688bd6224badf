"""One send of a request to a target and the checks of its reply."""

from collections.abc import Iterator
import contextlib
import dataclasses

from kingcupfront_gateway import adapter
from kingcupfront_gateway import caller
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import targets
from kingcupfront_gateway import upstream

# Late replies to earlier requests that are passed over before ours.
MAX_STRAY_REPLIES = 2


@dataclasses.dataclass
class Reply:
    """A reply whose head belongs to the request.

    :param link: the connection from which its body is read.
    :param is_whole: whether all of it was read.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    facts: adapter.ReplyMetadata
    link: upstream.UpstreamConnection
    is_whole: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the target says that it did what was asked."""
        return 200 <= self.status < 300

    def read_body(self, timeout: float) -> bytes:
        """Read the whole body.

        :param timeout: seconds of silence after which to give up.
        """
        body = self.link.read_body(timeout)
        self.is_whole = True
        return body


@contextlib.contextmanager
def sent(
    process: gateway.Gateway,
    state: targets.TargetState,
    request: caller.Request,
    ask: adapter.RequestMetadata,
    sending: adapter.Attempt,
    *,
    patience: float,
) -> Iterator[Reply]:
    """Send a request and yield its reply; close or keep the connection.

    :param patience: seconds to wait for the reply's head.
    :raises TargetError: if there is no reply that belongs to the request.
    """
    reply = None
    link = None
    state.in_use += 1
    try:
        link = process.pool.open(sending.target, process.clock.monotonic())
        link.send(
            request.method,
            request.target,
            process.platform.request_headers(ask, sending),
            request.body,
            patience,
        )
        reply = _read_own_head(process, link, request, ask, patience)
        _check_ran(reply, patience)
        yield reply
    finally:
        state.in_use -= 1
        process.targets.notify()
        if reply is not None and reply.is_whole:
            process.pool.keep(
                sending.target,
                link,
                reply.facts.idle_seconds,
                process.clock.monotonic(),
            )
        elif link is not None:
            link.close()


def _read_own_head(
    process: gateway.Gateway,
    link: upstream.UpstreamConnection,
    request: caller.Request,
    ask: adapter.RequestMetadata,
    patience: float,
) -> Reply:
    for _ in range(MAX_STRAY_REPLIES + 1):
        head = link.read_head(patience)
        reply_facts = process.platform.read_reply(head.status, head.headers)
        if reply_facts.id == ask.id:
            return Reply(head.status, head.headers, reply_facts, link)
        if reply_facts.not_run and reply_facts.id is None:
            return Reply(head.status, head.headers, reply_facts, link)
        link.skip_reply(patience, request.body)
    raise errors.BrokenReplyError('replies to other requests')


def _check_ran(reply: Reply, patience: float) -> None:
    if not reply.facts.not_run:
        return
    reply.read_body(patience)
    raise errors.RejectedError(
        f'status {reply.status}', misdirected=reply.facts.is_misdirected
    )
