"""Reads the bodies of callers' requests, with limits on size and time."""

import typing

import bottle
import gevent

from kingcupfront_core import block_buffer
from kingcupfront_core import caller_budget
from kingcupfront_core import switching_socket
from kingcupfront_entry import errors

MAX_BODY_BYTES = 4 * 1024 * 1024
BODY_SECONDS = 30.0
READ_BYTES = 64 * 1024
# The account of the connection, in the WSGI environment.
ACCOUNT_KEY = 'kingcupfront.account'


def read(limit: int = MAX_BODY_BYTES) -> bytes:
    """Return the body of the request that bottle is serving.

    :param limit: the maximum size of the body in bytes.
    :raises TooLargeError: if the body is larger.
    :raises SlowRequestError: if it does not arrive within
        :data:`BODY_SECONDS`.
    :raises TruncatedError: if it ends before its declared length.
    :raises OverBudgetError: if it has to make room for others.
    """
    if bottle.request.content_length > limit:
        raise errors.TooLargeError(f'the body is over {limit} bytes')
    stream = bottle.request.environ['wsgi.input']
    timeout_error = errors.SlowRequestError(
        f'the body did not arrive within {BODY_SECONDS:g} s'
    )
    try:
        with gevent.Timeout(BODY_SECONDS, timeout_error):
            data = _read_pieces(
                stream, limit, bottle.request.environ.get(ACCOUNT_KEY)
            )
    except OSError as error:
        raise errors.TruncatedError(
            'the body ended before its declared end'
        ) from error
    if len(data) > limit:
        raise errors.TooLargeError(f'the body is over {limit} bytes')
    if len(data) < bottle.request.content_length:
        raise errors.TruncatedError('the body ended before its declared end')
    return data


def _read_pieces(
    stream: typing.BinaryIO,
    limit: int,
    account: caller_budget.Account | None,
) -> bytes:
    """Read up to one byte more than the limit."""
    body = block_buffer.BlockBuffer()
    byte_counter = switching_socket.ByteCounter()
    if account is not None:
        account.enter(caller_budget.Stage.READING)
    try:
        while body.size <= limit:
            piece = stream.read(min(READ_BYTES, limit + 1 - body.size))
            if not piece:
                break
            body.append(piece)
            byte_counter.count(len(piece))
            if account is not None:
                account.resize(body.size)
                if account.is_dropped:
                    raise errors.OverBudgetError(
                        'callers use up the memory of the process'
                    )
        return body.take()
    except BaseException:
        # The error refers to this frame while the caller gets its response.
        body.clear()
        raise
    finally:
        if account is not None:
            account.enter(caller_budget.Stage.SERVING)
