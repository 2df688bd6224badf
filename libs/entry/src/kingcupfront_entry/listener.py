"""HTTP listeners, which limit what a caller may send."""

from collections.abc import Iterator
import contextlib
import ssl
import typing

import bottle
from gevent import pywsgi

from kingcupfront_config import settings
from kingcupfront_config import tls_files
from kingcupfront_core import address
from kingcupfront_core import caller_budget
from kingcupfront_entry import error_responses
from kingcupfront_entry import handler
from kingcupfront_entry import responses

HANDSHAKE_SECONDS = 10.0
BACKLOG_CONNECTIONS = 1024
# Connections accepted at a time: each may have to wait for another to close.
MAX_ACCEPTS = 10


class _Server(pywsgi.WSGIServer):
    handler_class = handler.Handler
    response_tracker: responses.ResponseTracker | None = None
    connections: caller_budget.Address

    def wrap_socket_and_handle(
        self, client_socket: typing.Any, where: typing.Any
    ) -> typing.Any:
        client_socket.settimeout(HANDSHAKE_SECONDS)
        try:
            return super().wrap_socket_and_handle(client_socket, where)
        except (ssl.SSLError, TimeoutError, ConnectionError):
            client_socket.close()
            return None


@contextlib.contextmanager
def serving(
    app: bottle.Bottle,
    where: settings.Listener,
    connections: caller_budget.Address | None = None,
    response_tracker: responses.ResponseTracker | None = None,
) -> Iterator[address.Address]:
    """Serve an application while the block runs.

    :param app: the application.
    :param where: the address to listen on, where port 0 picks a free port,
        and the TLS files.
    :param connections: bounds the connections; None bounds them by the limits
        of the system.
    :param response_tracker: tracks the responses, for a graceful shutdown.
    :returns: the address that the listener is bound to.
    """
    app.default_error_handler = error_responses.default_error_handler
    options = {}
    if where.tls is not None:
        options['ssl_context'] = tls_files.server_context(where.tls)
    server = _Server(
        tuple(where.address),
        app if response_tracker is None else response_tracker.wrap(app),
        backlog=BACKLOG_CONNECTIONS,
        log=None,
        error_log=None,
        **options,
    )
    server.response_tracker = response_tracker
    server.connections = connections or caller_budget.Address(
        caller_budget.CallerBudget(), caller_budget.CALLERS_PART
    )
    server.max_accept = MAX_ACCEPTS
    server.start()
    try:
        yield address.Address(where.address.host, server.server_port)
    finally:
        server.stop(timeout=0)
