"""Sends a call to a target and tells truthfully how it ended."""

import urllib3

from kingcupfront_core import address
from kingcupfront_core import outcomes
from kingcupfront_once import call

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
HOP_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'authorization',
    }
)


class Sender:
    """Sends calls, each on a connection of its own."""

    def send(self, target: address.Address, work: call.Call) -> call.Result:
        """Send a call once and return how it ended.

        :param target: where the service listens.
        :param work: the call.
        """
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=work.timeout_seconds
        )
        pool = urllib3.HTTPConnectionPool(
            target.host, target.port, maxsize=1, retries=False
        )
        try:
            response = pool.request(
                work.method,
                work.path,
                body=work.body,
                headers=dict(work.headers),
                timeout=timeout,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return call.Result(outcomes.Outcome.NOT_RUN, reason=str(error))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return call.Result(outcomes.Outcome.UNKNOWN, reason=str(error))
        finally:
            pool.close()
        headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_HEADERS
        )
        return call.Result(
            _outcome(response.status), response.status, headers, response.data
        )


def _outcome(status: int) -> outcomes.Outcome:
    if status in (429, 503):
        return outcomes.Outcome.NOT_RUN
    return outcomes.Outcome.FAILED if status >= 400 else outcomes.Outcome.DONE
