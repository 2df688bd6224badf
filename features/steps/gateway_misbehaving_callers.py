"""Steps for misbehaving callers of a gateway process."""

import http.client
import tempfile
import time

import behave
import gevent

from features.support import client_crowds
from features.support import loopback
from features.support import platform_site
from features.support.soak import gateways

MEGABYTE = 1000 * 1000
ANSWER_BYTES = 2 * MEGABYTE
ANSWER_WAIT_SECONDS = 60
ATTEMPT_SECONDS = 5
PATHS = {
    'a route': '/once/2f',
    'no route': '/none/2f',
    'the readiness': '/v1/readyz',
    'the peers': '',
}
PORTS = {
    'the readiness': gateways.READY_PORT,
    'the peers': gateways.PEERS_PORT,
}


class Gateway(gateways.Gateway):
    """A gateway process with little memory and few descriptors."""

    limits = ''

    def write_settings(self):
        super().write_settings()
        text = self.settings_path.read_text()
        self.settings_path.write_text(
            text.replace('memory_mb = 150', self.limits)
        )


@behave.given(
    'a gateway process with {memory:d} MB of memory and {count:d} descriptors'
)
def gateway_process(context, memory, count):
    context.memory_bytes = memory * MEGABYTE
    context.descriptors = count
    site = context.site = platform_site.Site(context.stack)
    site.max_body_bytes = client_crowds.BODY_BYTES
    site.limits = {
        'max_header_bytes': 16384,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    }
    site.add_plain('a')
    site.routes['once']['timeout_ms'] = 20000
    site.publish()
    folder = _folder(context)
    ip = loopback.new_host()
    seeds = [f'{ip}:{gateways.PEERS_PORT}']
    Gateway.limits = f'memory_mb = {memory}\nfile_descriptors = {count}'
    context.gateway = Gateway(
        'gateway-1',
        ip,
        'zone-a',
        site.store_address,
        folder,
        {},
        (),
        seeds,
    )
    context.stack.callback(context.gateway.close)
    context.gateway.start()
    context.gateway.wait_ready()
    context.resources = client_crowds.Resources(context.gateway.pid)
    context.stack.callback(context.resources.close)
    assert _ask(context) == 200


def _folder(context):
    return context.stack.enter_context(tempfile.TemporaryDirectory())


def _ask(context):
    """Return the status of one ordinary request; 0 if there is none."""
    site = context.site
    where = context.gateway.ip, gateways.CALLERS_PORT
    line = http.client.HTTPConnection(*where, timeout=ATTEMPT_SECONDS)
    try:
        site.send(line, 'once')
        return line.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        line.close()


@behave.when('{count:d} clients send {load} to {path}')
def clients_send(context, count, load, path):
    if 'for 2 MB' in load:
        context.site.targets['a'].answer_padding = b'x' * ANSWER_BYTES
    port = PORTS.get(path, gateways.CALLERS_PORT)
    aim = client_crowds.Aim((context.gateway.ip, port), PATHS[path])
    client_crowds.send(context.stack, count, load, aim)
    context.site.targets['a'].answer_padding = b''


@behave.then('an ordinary request and a health check are answered')
def answered(context):
    end = time.monotonic() + ANSWER_WAIT_SECONDS
    while _ask(context) != 200:
        assert context.gateway.is_running, context.gateway.tail()
        assert time.monotonic() < end, 'no ordinary request was answered'
        gevent.sleep(0.2)
    while context.gateway.get('/v1/readyz')[0] != 200:
        assert time.monotonic() < end, 'no health check was answered'
        gevent.sleep(0.2)


@behave.then('the process has stayed within its memory and descriptors')
def within(context):
    assert context.gateway.is_running, context.gateway.tail()
    context.resources.check(context.memory_bytes, context.descriptors)
