"""Reads the bodies of callers' requests, with limits on size and time."""

import bottle
import gevent

from kingcupfront_entry import errors

MAX_BODY_BYTES = 4 * 1024 * 1024
BODY_SECONDS = 30.0


def read(limit: int = MAX_BODY_BYTES) -> bytes:
    """Return the body of the request that bottle is serving.

    :param limit: the maximum size of the body in bytes.
    :raises TooLargeError: if the body is larger.
    :raises SlowRequestError: if it does not arrive within
        :data:`BODY_SECONDS`.
    :raises TruncatedError: if it ends before its declared length.
    """
    if bottle.request.content_length > limit:
        raise errors.TooLargeError(f'the body is over {limit} bytes')
    stream = bottle.request.environ['wsgi.input']
    timeout_error = errors.SlowRequestError(
        f'the body did not arrive within {BODY_SECONDS:g} s'
    )
    try:
        with gevent.Timeout(BODY_SECONDS, timeout_error):
            data = stream.read(limit + 1)
    except OSError as error:
        raise errors.TruncatedError(
            'the body ended before its declared end'
        ) from error
    if len(data) > limit:
        raise errors.TooLargeError(f'the body is over {limit} bytes')
    if len(data) < bottle.request.content_length:
        raise errors.TruncatedError('the body ended before its declared end')
    return data
