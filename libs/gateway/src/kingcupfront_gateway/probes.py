"""Answers the balancer's questions and shows the metrics."""

import json
import logging

from gevent import socket as cooperative

from kingcupfront_gateway import caller
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import objects
from kingcupfront_gateway import sockets
from kingcupfront_gateway import state

LOG = logging.getLogger(__name__)

METRICS_PATH = '/metrics'
STATE_PATH = '/state'


class ProbeHandler:
    """Serves readiness, metrics and the state dump.

    :param process: the parts of the process.
    """

    def __init__(self, process: gateway.Gateway) -> None:
        self._process = process

    def handle(self, sock: cooperative.socket, _: object) -> None:
        """Serve a connection until one side closes it."""
        sockets.configure(sock)
        link = caller.CallerConnection(sock, objects.CallerLimits())
        try:
            while (request := link.read_request()) is not None:
                status, body = self._answer(request.path)
                link.send_response(status, [], body)
                if not link.can_reuse:
                    return
                link.start_next_request()
        except errors.GatewayError as error:
            LOG.debug('probe_failed', extra={'detail': str(error)})
        finally:
            link.close()

    def _answer(self, path: str) -> tuple[int, bytes]:
        if path == self._process.platform.ready_path:
            return (200, b'') if self._process.is_ready else (503, b'')
        if path == METRICS_PATH:
            return 200, self._process.metrics.exposition()
        if path == STATE_PATH:
            dump = json.dumps(state.dump(self._process), indent=1)
            return 200, dump.encode()
        return 404, b''
