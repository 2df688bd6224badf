"""HTTP endpoints for readiness, metrics and the state dump."""

import json
import logging

from gevent import socket as cooperative

from kingcupfront_core import caller_budget
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
    """Serves readiness to the balancer, metrics and the state dump.

    :param process: the gateway process.
    """

    def __init__(self, process: gateway.Gateway) -> None:
        self._process = process
        self._address = caller_budget.Address(
            process.caller_budget, caller_budget.PROBES_PART
        )

    def handle(self, sock: cooperative.socket, _: object) -> None:
        """Serve requests on a connection until one side closes it."""
        sockets.configure(sock)
        connection = caller.CallerConnection(
            sock, objects.CallerLimits, check_head=_ignore_body
        )
        with connection.counted(self._address) as has_room:
            self._serve(connection, has_room)

    def _serve(
        self, connection: caller.CallerConnection, has_room: bool
    ) -> None:
        try:
            if not has_room:
                return
            while (request := connection.read_request()) is not None:
                status, body = self._answer(request.path)
                connection.send_response(status, [], body)
                if not connection.can_reuse:
                    return
                connection.start_next_request()
        except (errors.GatewayError, errors.EndedRequestError) as error:
            LOG.debug('probe_failed', extra={'detail': str(error)})
        finally:
            connection.close()

    def _answer(self, path: str) -> tuple[int, bytes]:
        if path == self._process.platform.ready_path:
            return (200, b'') if self._process.is_ready else (503, b'')
        if path == METRICS_PATH:
            return 200, self._metrics_text()
        if path == STATE_PATH:
            dump = json.dumps(state.dump(self._process), indent=1)
            return 200, dump.encode()
        return 404, b''

    def _metrics_text(self) -> bytes:
        # Loaded at the first call, since it takes much memory.
        from kingcupfront_core import exposition

        return exposition.text(self._process.metrics.snapshot())


def _ignore_body(_: caller.Request) -> Exception:
    """Let the body of a request be discarded: no probe has one."""
    return errors.MalformedRequestError('a probe has no body')
