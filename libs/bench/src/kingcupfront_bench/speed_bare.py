"""A relay without any checks, for orientation.

Run as ``python -m kingcupfront_bench.speed_bare ENGINE...``. It holds what a
relay of the same libraries cannot do without, and nothing else.
"""

from gevent import monkey

monkey.patch_all()

from collections.abc import Callable  # noqa: E402
from collections.abc import Iterator  # noqa: E402
import itertools  # noqa: E402
import sys  # noqa: E402
import typing  # noqa: E402

from gevent import pywsgi  # noqa: E402
import urllib3  # noqa: E402

READ_BYTES = 65536
POOL_CONNECTIONS = 1024

engines = itertools.cycle(sys.argv[1:])
pool = urllib3.PoolManager(maxsize=POOL_CONNECTIONS, retries=False)


def relay(
    environ: dict[str, typing.Any], start_response: Callable[..., typing.Any]
) -> Iterator[bytes]:
    """Pass on whatever an engine sends."""
    response = pool.request(
        'POST',
        f'http://{next(engines)}{environ["PATH_INFO"]}',
        body=environ['wsgi.input'].read(),
        preload_content=False,
    )
    start_response('200 OK', [('Content-Type', 'text/event-stream')])
    while data := response.read1(READ_BYTES):
        yield data
    response.close()


if __name__ == '__main__':
    server = pywsgi.WSGIServer(('127.0.0.1', 0), relay, log=None)
    server.start()
    print(f'listening=127.0.0.1:{server.server_port}', flush=True)  # noqa: T201
    server.serve_forever()
