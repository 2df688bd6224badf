"""Requests whose targets are faulty while the configuration changes.

Each request has a service of its own with two targets. A plain target has the
request, and shows its fault when the requests go on; an engine does during
the stream.
"""

import socket

from features.support import caller_lines
from features.support import platform_server
from kingcupfront_core import registry

SILENCE_SECONDS = 1.5
EVENTS, GAP_SECONDS = 50, 0.03
LEAVING = {'Server-Leaving': '1'}
REFUSAL = {'Retry-After': '1'}
PAUSE = 'pause at 10'

plain_faults = registry.Registry('fault of plain targets')
engine_faults = registry.Registry('fault of engines')


def add_services(scene):
    """Add a service for each fault to a site that is not running yet."""
    scene.site.max_body_bytes = 2 * platform_server.LONG_BODY_BYTES
    for name in plain_faults:
        scene.add_plain_service(_service(name))
        servers = [scene.add_plain(_service(name), n) for n in '12']
        for server in servers:
            server.released = scene.is_released
            plain_faults.get(name)(server)
        _share_faults(servers)
    for name in engine_faults:
        service = _service(name)
        scene.add_engine_service(service, max_attempts=2, stream_resume=True)
        engines = [scene.add_engine(service, n) for n in '12']
        for engine in engines:
            engine.events, engine.gap = EVENTS, GAP_SECONDS
            engine_faults.get(name)(engine)
        _share_faults(engines)


def _share_faults(servers):
    """Let just the first of them that gets a request show a fault."""
    for server in servers[1:]:
        server.faults = servers[0].faults


def _service(name):
    return name.replace(' ', '-')


def bring_all(scene):
    """Bring a request to each faulty target."""
    for name in plain_faults:
        if name == 'early answer':
            scene.add_request(name, _long_body(scene, name))
        else:
            scene.add_request(name, _held(scene, name))
    for name in engine_faults:
        scene.add_request(name, _begun(scene, name))


def _targets(scene, name):
    return [scene.target(f'{_service(name)}{number}') for number in '12']


def _held(scene, name):
    caller = scene.open()
    caller.send(caller_lines.request(scene.site, _service(name)))
    targets = _targets(scene, name)
    scene.wait_until(lambda: any(target.waiting for target in targets))
    return caller, 1, None


def _long_body(scene, name):
    caller = scene.open()
    body = b'x' * platform_server.LONG_BODY_BYTES
    data = caller_lines.request(scene.site, _service(name), body=body)
    caller.send(data[: len(data) // 2])
    return caller, 1, lambda: caller.send(data[len(data) // 2 :])


def _begun(scene, name):
    caller = scene.open()
    caller.send(caller_lines.request(scene.site, _service(name)))
    engines = _targets(scene, name)
    scene.wait_until(lambda: any(engine.made for engine in engines))
    assert caller.sock.recv(1, socket.MSG_PEEK), 'the stream has not begun'

    def begin_to_leave():
        for engine in engines:
            if name == 'stream, leaving' and engine.made:
                engine.signs = LEAVING

    return caller, 1, begin_to_leave


@plain_faults.register('silence')
def _silent(server):
    server.seconds = SILENCE_SECONDS


@plain_faults.register('no length')
def _without_length(server):
    server.faults.append('unframed')


@plain_faults.register('early answer')
def _early(server):
    server.early_answers.append('')
    server.released = None


@plain_faults.register('leaving')
def _leaving(server):
    server.signs = LEAVING


@plain_faults.register('refusal, leaving')
def _refusing_and_leaving(server):
    server.signs = LEAVING
    server.faults.append('shed')


@plain_faults.register('refusal, silence')
def _refusing(server):
    server.refusal_signs = REFUSAL
    server.faults.append('shed')


@plain_faults.register('failure')
def _failing(server):
    server.faults.append('failure')


@plain_faults.register('reset')
def _resetting(server):
    server.faults.append('reset')


@engine_faults.register('stream, silence')
def _pausing(engine):
    engine.faults.append(PAUSE)


@engine_faults.register('stream, no length')
def _unframed(engine):
    engine.is_unframed = True


@engine_faults.register('stream, leaving')
def _leaving_engine(engine):
    engine.reports_backups = True


@engine_faults.register('stream, reset')
def _reset_engine(engine):
    engine.faults.append('reset at 30')
