"""A listener for the stand-ins' HTTP interfaces."""

from collections.abc import Iterator
import contextlib

import bottle
from gevent import pywsgi

from kingcupfront_core import address


@contextlib.contextmanager
def serving(
    app: bottle.Bottle, where: address.Address
) -> Iterator[address.Address]:
    """Serve an application while the block runs.

    :param app: the application.
    :param where: where to listen; port 0 picks a free one.
    :returns: the address that was bound.
    """
    server = pywsgi.WSGIServer(tuple(where), app, log=None, error_log=None)
    server.start()
    try:
        yield address.Address(where.host, server.server_port)
    finally:
        server.stop(timeout=0)
