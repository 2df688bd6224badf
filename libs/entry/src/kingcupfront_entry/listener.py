"""HTTP listeners with bounds on what a caller may send."""

from collections.abc import Iterator
import contextlib

from gevent import pywsgi

from kingcupfront_config import settings
from kingcupfront_core import address
from kingcupfront_entry import responses


@contextlib.contextmanager
def serving(
    app: responses.Application, where: settings.Listener
) -> Iterator[address.Address]:
    """Serve an application while the block runs.

    :param app: a WSGI application.
    :param where: where to listen; port 0 picks a free one.
    :returns: the address that was bound.
    """
    options = {}
    if where.tls is not None:
        options = {
            'certfile': where.tls.certificate,
            'keyfile': where.tls.key,
        }
    server = pywsgi.WSGIServer(
        tuple(where.address), app, log=None, error_log=None, **options
    )
    server.start()
    try:
        yield address.Address(where.address.host, server.server_port)
    finally:
        server.stop(timeout=0)
