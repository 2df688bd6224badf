"""States of a request when its entry reaches the deadline of its shutdown.

Each function brings a request into a state and returns the connection of its
caller, which has read nothing.
"""

import json
import signal
import socket

import gevent

from features.support import actions
from features.support import fleet
from kingcupfront_core import registry

states = registry.Registry('state of a request')
WAIT_SECONDS = 20
LONG_TOKENS = 1000
AHEAD_BYTES = 100_000
PAUSE_SECONDS = 3.0


def connect(entry):
    host, port = entry.callers.rsplit(':', 1)
    return socket.create_connection((host, int(port)), WAIT_SECONDS)


def request(path, body, *headers):
    data = json.dumps(body).encode()
    lines = [
        f'POST {path} HTTP/1.1',
        'Host: x',
        f'Authorization: Bearer {fleet.KEY}',
        f'Content-Length: {len(data)}',
        *headers,
    ]
    return '\r\n'.join([*lines, '', '']).encode() + data


def send(world, data):
    sock = connect(world.fleet.entries[1])
    sock.sendall(data)
    return sock


def action(world, *headers, service='register'):
    body = world.body()
    world.plain.faults(hold=True)
    sock = send(world, request(f'/services/{service}/lots', body, *headers))
    return sock, body


def generations(world):
    return fleet.get(f'{world.engine.url}/generations')['generations']


def generation(world, **changes):
    body = {
        'model': 'assistant',
        'prompt': 'hello',
        'max_tokens': LONG_TOKENS,
        'stream': True,
    }
    return send(world, request('/v1/completions', body | changes))


@states.register('an action that waits for room')
def waits_for_room(world):
    entry = world.fleet.entries[1]
    world.fleet.register('pair-1', world.plain.address, 'pair', slots=1)
    fleet.until(
        lambda: 'pair-1' in entry.dump()['targets'],
        'the entry knows the target',
    )
    world.plain.faults(hold=True)
    body = world.body()
    world.begin(entry, '', body, service='pair')
    world.started(body)
    sock, _ = action(world, service='pair')
    fleet.until(lambda: len(entry.dump()['requests']) == 2, 'it waits')
    return sock


@states.register('an action that its service runs')
def runs(world):
    sock, body = action(world)
    world.started(body)
    return sock


@states.register('an action under a permit that its service runs')
def runs_under_permit(world):
    key = world.permits(world.fleet.entries[1])[0]
    sock, body = action(world, f'Idempotency-Key: {key}')
    world.started(body)
    return sock


@states.register('a generation without its first token')
def without_token(world):
    world.engine.faults(held=True)
    sock = generation(world)
    fleet.until(lambda: generations(world), 'the engine has the generation')
    return sock


@states.register('a whole generation in the middle')
def whole_generation(world):
    sock = generation(world, stream=False)
    fleet.until(lambda: has_tokens(world), 'the engine has begun')
    return sock


@states.register('a stream in the middle')
def stream(world):
    sock = generation(world)
    assert sock.recv(1, socket.MSG_PEEK), 'the stream has not begun'
    return sock


def has_tokens(world):
    return any(g['tokens'] for g in generations(world).values())


@states.register('an answer that its caller has not read')
def unread_answer(world):
    sock = send(world, request('/services/register/lots', world.body()))
    assert sock.recv(1, socket.MSG_PEEK), 'there is no answer'
    return sock


@states.register('half a body')
def half_body(world):
    entry = world.fleet.entries[1]
    data = request('/services/register/lots', world.body())[:-2]
    sock = send(world, data)
    # The head of a request that was sent later has been read, too.
    assert fleet.ready(entry)
    return sock


@states.register('half a head')
def half_head(world):
    entry = world.fleet.entries[1]
    sock = send(world, request('/services/register/lots', world.body())[:40])
    assert fleet.ready(entry)
    return sock


@states.register('an action with a further request sent ahead')
def sent_ahead(world):
    sock, body = action(world)
    sock.sendall(request('/services/register/lots', 'x' * AHEAD_BYTES))
    world.started(body)
    return sock


@states.register('an action whose key is being claimed')
def being_claimed(world):
    entry, paused = world.fleet.entries[1], world.fleet.entries[2]
    paused.pause()
    gevent.spawn_later(PAUSE_SECONDS, paused.kill, signal.SIGCONT)
    key = actions.own_key()
    body = world.body()
    sock = send(
        world,
        request('/services/register/lots', body, f'Idempotency-Key: {key}'),
    )
    fleet.until(
        lambda: entry.dump()['parts']['keys']['running'], 'it is being claimed'
    )
    return sock
