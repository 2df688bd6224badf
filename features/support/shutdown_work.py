"""Work that is in progress when an entry is told to stop, by name.

Each begins its work, tells the entry to stop, and returns a task that ends
with whether the work ended whole.
"""

import http.client
import json
import signal
import socket

import gevent

from features.support import actions
from features.support import fleet
from kingcupfront_core import registry

works = registry.Registry('work')
STREAM_TOKENS = 60
LARGE_BYTES = 2_500_000
SMALL_BUFFER_BYTES = 4096


def stop(world):
    entry = world.fleet.entries[1]
    entry.kill(signal.SIGTERM)
    entry.wait_for('event=drain_started')
    return entry


def stream(entry, tokens=STREAM_TOKENS):
    body = {
        'model': 'assistant',
        'prompt': 'hello',
        'max_tokens': tokens,
        'stream': True,
    }
    data = fleet.ask(entry, '/v1/completions', body, timeout=60).data
    events = [e for e in data.split(b'\n\n') if e.startswith(b'id: ')]
    return len(events) == tokens and data.endswith(b'data: [DONE]\n\n')


@works.register('a long stream')
def long_stream(world):
    task = gevent.spawn(stream, world.fleet.entries[1])
    entry = world.fleet.entries[1]
    fleet.until(lambda: entry.dump()['requests'], 'the stream has begun')
    stop(world)
    return task


def held(world, sender, key):
    body = world.body()
    world.plain.faults(hold=True)
    task = world.begin(sender, key, body)
    world.started(body)
    stop(world)

    def finish():
        world.plain.faults(hold=False)
        return actions.outcome(task.get()) == 'done' and world.runs(body) == 1

    return gevent.spawn_later(0.5, finish)


@works.register('an action without a key')
def keyless(world):
    return held(world, world.fleet.entries[1], '')


@works.register('an action under its own permit')
def own_permit(world):
    entry = world.fleet.entries[1]
    return held(world, entry, world.permits(entry)[0])


@works.register('an action handed over by another entry')
def handed_over(world):
    key = world.permits(world.fleet.entries[1])[0]
    return held(world, world.fleet.entries[2], key)


def kept_open(world, before):
    host, port = world.fleet.entries[1].callers.rsplit(':', 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=60)
    headers = {'Authorization': f'Bearer {fleet.KEY}'}

    def ask():
        conn.request('GET', '/v1/models', headers=headers)
        response = conn.getresponse()
        response.read()
        return response

    assert before is False or ask().getheader('Connection') != 'close'
    rest = held(world, world.fleet.entries[1], '')

    def finish():
        response = ask()
        asked = response.getheader('Connection') == 'close'
        conn.close()
        return response.status == 200 and asked and rest.get()

    return gevent.spawn(finish)


@works.register('a request on a connection kept open')
def on_open_connection(world):
    return kept_open(world, before=True)


@works.register('a request that comes within the notice')
def within_notice(world):
    return kept_open(world, before=False)


@works.register('an answer that its caller reads slowly')
def read_slowly(world):
    body = json.dumps({'lot': 'x' * LARGE_BYTES}).encode()
    host, port = world.fleet.entries[1].callers.rsplit(':', 1)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.connect((host, int(port)))
    sock.sendall(
        b'POST /services/register/lots HTTP/1.1\r\nHost: x\r\n'
        b'Authorization: Bearer %s\r\nConnection: close\r\n'
        b'Content-Length: %d\r\n\r\n%s' % (fleet.KEY.encode(), len(body), body)
    )
    first = sock.recv(100)
    entry = stop(world)

    def finish():
        with gevent.Timeout(1.0, False):
            entry.popen.wait()
        data = first
        while part := sock.recv(1_000_000):
            data += part
        sock.close()
        head, _, answer = data.partition(b'\r\n\r\n')
        return len(answer) > LARGE_BYTES and b' 200 ' in head[:20]

    return gevent.spawn(finish)
