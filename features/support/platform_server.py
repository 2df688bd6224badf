"""Stand-ins of the platform's servers, with faults on request."""

import contextlib
import functools
import json
import time

import gevent
from gevent import server as servers
from gevent import socket
import h11

# Longer than what the sockets of a connection hold, with this buffer.
LONG_BODY_BYTES = 8 * 1024 * 1024
RECEIVE_BUFFER_BYTES = 65536
# How long after an early answer the rest of the body is read.
LATE_READING_SECONDS = 1.3
SIGNATURE = 'signed-by-a-stand-in'
RELEASE_CALL = '/v1/hold-drop/'
# What the paths of calls to engines begin with.
ENGINE_CALLS = ('/v1/kv-move', '/v1/hold-take', RELEASE_CALL)


class DiscardingDict(dict):
    """A dictionary that discards all items."""

    def __setitem__(self, key, value):
        pass


class Server:
    """A server that answers one request at a time on a connection.

    ``faults`` holds what happens to the next requests, first come first;
    ``runs`` the ids of what it ran, ``seen`` the headers of all arrivals.
    """

    def __init__(self, server_id, service='plain', zone='zone-a'):
        self.id = server_id
        # Unix milliseconds.
        self.born = int(time.time() * 1000)
        # Of its software; its entry may say otherwise.
        self.version = 'v1'
        self.service = service
        self.zone = zone
        self.faults = []
        self.runs = []
        self.seen = []
        self.bodies = []
        self.closed_early = []
        self.connections = 0
        self.reports = 0
        self.hangs_reports = False
        # Whether reports name the start of the server.
        self.reports_born = True
        # What is added to the bodies of successes.
        self.answer_padding = b''
        self.is_draining = False
        # Headers of all replies, and of those with status 503.
        self.signs = {}
        self.refusal_signs = {}
        # How many replies had such headers.
        self.replied_signs = 0
        # The work on a request, and how many there were at a time before the
        # first success.
        self.seconds = 0.0
        self.in_progress = 0
        self.most_before_success = 0
        self.has_succeeded = False
        # Requests wait for this event, if there is one, before their answer.
        self.released = None
        self.waiting = 0
        # When requests and calls came, on the monotonic clock.
        self.arrived_at = []
        # Whether responses to calls are preceded by a copy of the earlier one
        # on the same connection.
        self.repeats_calls = False
        self._last_call_by_socket = {}
        self._last_refusal_by_socket = {}
        # Faults of answers to long requests, sent before their bodies are
        # read, and the bytes that were then read as bodies.
        self.early_answers = []
        self.late_bytes = set()
        self.address = ''
        self._socks = set()

    def serve(self, stack, port=0):
        listener = servers.StreamServer(('127.0.0.1', port), self._handle)
        listener.start()
        listener.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.address = f'127.0.0.1:{listener.server_port}'
        self._listener = listener
        stack.callback(listener.stop, 0)
        return self

    def stop(self):
        self._listener.stop(0)

    def crash(self):
        """End at once: nobody listens, and all connections break."""
        self.stop()
        for sock in list(self._socks):
            with contextlib.suppress(OSError):
                sock.close()

    def entry(self, **more):
        """Return the server's entry in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': 6,
            'state': 'draining' if self.is_draining else 'ready',
            'warmup_left_ms': 0,
            'sequence': 5 if self.is_draining else 4,
            'born': self.born,
        } | more

    def _handle(self, sock, _):
        self.connections += 1
        self._socks.add(sock)
        wire = h11.Connection(h11.SERVER)
        try:
            while self._serve_one(sock, wire):
                wire.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass  # A fault of the test, or the gateway closed.
        finally:
            self._last_call_by_socket.pop(sock, None)
            self._last_refusal_by_socket.pop(sock, None)
            self._socks.discard(sock)
            sock.close()

    def _serve_one(self, sock, wire):
        head, body = self._read(sock, wire)
        if head is None:
            return False
        if wire.our_state is h11.DONE:
            return True
        fields = self._fields(head)
        self.arrived_at.append(time.monotonic())
        if fields['path'] == '/v1/report':
            self.reports += 1
            if self.hangs_reports:
                sock.recv(1)
                return False
            return self._send(sock, wire, 200, {}, self.report())
        self.seen.append(fields)
        self.bodies.append(body)
        expected = fields.get('kingcupfront-expect-instance')
        if not fields['path'].startswith('/v1/') and expected != self.id:
            return self._send(sock, wire, 421, {}, b'')
        is_call = fields['path'].startswith(ENGINE_CALLS)
        if not is_call and 'kingcupfront-attempt-id' not in fields:
            # A call for what had this address before.
            return self._send(sock, wire, 400, {}, b'')
        if self.released is not None and not is_call:
            self.waiting += 1
            self.released.wait()
            self.waiting -= 1
        return self.serve_request(sock, wire, fields)

    def _fields(self, head):
        fields = {n.decode().lower(): v.decode() for n, v in head.headers}
        fields['path'] = head.target.decode()
        fields['method'] = head.method.decode()
        return fields

    def _answer_early(self, sock, wire, head):
        fields = self._fields(head)
        if (
            self.early_answers
            and int(fields.get('content-length', 0)) >= LONG_BODY_BYTES
        ):
            self.faults.insert(0, self.early_answers.pop(0))
            self.serve_request(sock, wire, fields)
            gevent.sleep(LATE_READING_SECONDS)

    def note_run(self, attempt, fields):
        self.runs.append(attempt)

    def report(self):
        return json.dumps(
            {'active': 0, 'queued': 0, 'kv_used': 0, 'state': 'ready'}
            | self.told_start()
        ).encode()

    def told_start(self):
        """Return what reports say of the start of the server."""
        return {'born': self.born} if self.reports_born else {}

    def _read(self, sock, wire):
        head, body = None, b''
        while True:
            found = wire.next_event()
            if found is h11.NEED_DATA:
                wire.receive_data(sock.recv(65536))
            elif isinstance(found, h11.Request):
                head = found
                self._answer_early(sock, wire, head)
            elif isinstance(found, h11.Data):
                body += bytes(found.data)
                if wire.our_state is h11.DONE:
                    self.late_bytes |= set(bytes(found.data))
            elif isinstance(found, h11.EndOfMessage):
                return head, body
            else:
                return None, b''

    def _send(self, sock, wire, status, headers, body):
        signs = self.signs | (self.refusal_signs if status == 503 else {})
        headers = headers | signs
        self.replied_signs += bool(signs)
        fields = [('Content-Length', str(len(body))), *headers.items()]
        data = wire.send(h11.Response(status_code=status, headers=fields))
        if body:
            data += wire.send(h11.Data(data=body))
        data += wire.send(h11.EndOfMessage())
        if status == 503:
            self._last_refusal_by_socket[sock] = data
        sock.sendall(data)
        return wire.our_state is h11.DONE

    def _send_call_response(self, sock, wire, status, body):
        earlier = self._last_call_by_socket.get(sock)
        if self.repeats_calls and earlier:
            sock.sendall(earlier)
        self._last_call_by_socket[sock] = (
            f'HTTP/1.1 {status} OK\r\nContent-Length: {len(body)}\r\n\r\n'
        ).encode() + body
        return self._send(sock, wire, status, {}, body)

    def repeat_refusal(self, sock):
        """Send the last refusal on this connection, if any, once more."""
        sock.sendall(self._last_refusal_by_socket.get(sock, b''))

    def serve_request(self, sock, wire, fields):
        """Answer a request, with the next fault if there is one."""
        if fields['path'].startswith(ENGINE_CALLS):
            return self._send(sock, wire, 404, {}, b'')
        attempt = fields['kingcupfront-attempt-id']
        fault = self.faults.pop(0) if self.faults else ''
        own = {'Kingcupfront-Attempt-Id': attempt}
        if fault == 'shed':
            own['Kingcupfront-Not-Executed'] = '1'
            return self._send(sock, wire, 503, own, b'')
        self.note_run(attempt, fields)
        own['Kingcupfront-Server-Signature'] = SIGNATURE
        body = f'answer of {self.id} to {attempt}'.encode()
        body += self.answer_padding
        with self._working():
            return FAULTS[fault](self, sock, wire, own, body)

    @contextlib.contextmanager
    def _working(self):
        self.in_progress += 1
        if not self.has_succeeded:
            self.most_before_success = max(
                self.most_before_success, self.in_progress
            )
        gevent.sleep(self.seconds)
        yield
        self.in_progress -= 1
        self.has_succeeded = True


def is_closed(sock):
    """Return whether the other side has closed a connection."""
    sock.settimeout(0)
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    finally:
        sock.settimeout(None)


def _good(server, sock, wire, own, body):
    return server._send(sock, wire, 200, own, body)


def _failure(server, sock, wire, own, body):
    return server._send(sock, wire, 500, own, b'own failure')


def _failure_with(status, signs, server, sock, wire, own, body):
    """Fail with a status that need not mean that the request was not run."""
    return server._send(sock, wire, status, own | signs, b'own failure')


def _late_refusal_status(server, sock, wire, own, body):
    gevent.sleep(0.8)
    return _failure_with(503, {}, server, sock, wire, own, body)


def _late_failure(server, sock, wire, own, body):
    gevent.sleep(1.7)
    return _failure(server, sock, wire, own, body)


def _failure_after_seconds(server, sock, wire, own, body):
    """Fail once a second target has been tried beside this one."""
    gevent.sleep(2.4)
    return _failure(server, sock, wire, own, body)


def _half_body_after_seconds(server, sock, wire, own, body):
    """Begin the reply once a second target has been tried; do not end it."""
    gevent.sleep(2.2)
    fields = [*own.items(), ('Content-Length', str(len(body)))]
    sock.sendall(
        wire.send(h11.Response(status_code=200, headers=fields)) + body[:5]
    )
    return _silent(server, sock, wire, own, body)


def _crash(server, sock, wire, own, body):
    gevent.sleep(0.2)
    server.crash()
    return False


def _long_stray_after_seconds(server, sock, wire, own, body):
    gevent.sleep(2.4)
    sock.sendall(
        b'HTTP/1.1 200 OK\r\nKingcupfront-Attempt-Id: earlier\r\n'
        b'Content-Length: 5\r\n\r\nst'
    )
    gevent.sleep(0.1)
    sock.sendall(b'ray')
    return server._send(sock, wire, 200, own, body)


def _slow(server, sock, wire, own, body):
    gevent.sleep(0.6)
    return _good(server, sock, wire, own, body)


def _unsigned(server, sock, wire, own, body):
    del own['Kingcupfront-Server-Signature']
    return server._send(sock, wire, 200, own, body)


def _of_another(server, sock, wire, own, body):
    own['Kingcupfront-Attempt-Id'] = 'another'
    server._send(sock, wire, 200, own, b'not yours')
    return False


def _extra(server, sock, wire, own, body):
    server._send(sock, wire, 200, own, body)
    sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra')
    return False


def _stray_first(server, sock, wire, own, body):
    sock.sendall(
        b'HTTP/1.1 200 OK\r\nKingcupfront-Attempt-Id: earlier\r\n'
        b'Content-Length: 5\r\n\r\nstray'
    )
    return server._send(sock, wire, 200, own, body)


def _signs_of_another(server, sock, wire, own, body):
    sock.sendall(
        b'HTTP/1.1 503 Full\r\nKingcupfront-Attempt-Id: earlier\r\n'
        b'Kingcupfront-Not-Executed: 1\r\nRetry-After: 30\r\n'
        b'Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n'
    )
    return server._send(sock, wire, 200, own, body)


def _signs_of_proxy(server, sock, wire, own, body):
    sock.sendall(
        b'HTTP/1.1 503 Unavailable\r\nRetry-After: 30\r\n'
        b'Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n'
    )
    return False


def _repeated_refusal(server, sock, wire, own, body):
    server.repeat_refusal(sock)
    gevent.sleep(0.1)
    return server._send(sock, wire, 200, own, body)


def _repeated_refusal_without_id(server, sock, wire, own, body):
    sock.sendall(
        b'HTTP/1.1 503 Full\r\nKingcupfront-Not-Executed: 1\r\n'
        b'Content-Length: 0\r\n\r\n'
    )
    gevent.sleep(0.1)
    return server._send(sock, wire, 200, own, body)


def _long_keep_alive(server, sock, wire, own, body):
    own['Keep-Alive'] = 'timeout=' + '9' * 5000
    return server._send(sock, wire, 200, own, body)


def _no_http(server, sock, wire, own, body):
    sock.sendall(b'\x00\x01\x02 no answer\r\n\r\n')
    return False


def _cut(server, sock, wire, own, body):
    fields = [*own.items(), ('Content-Length', str(len(body)))]
    sock.sendall(
        wire.send(h11.Response(status_code=200, headers=fields)) + body[:5]
    )
    return False


def _reset(server, sock, wire, own, body):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\x01\0\0\0\0\0\0\0')
    return False


def _silent(server, sock, wire, own, body):
    sock.recv(1)
    server.closed_early.append(own['Kingcupfront-Attempt-Id'])
    return False


def _unframed(server, sock, wire, own, body):
    fields = ''.join(f'{name}: {value}\r\n' for name, value in own.items())
    sock.sendall(b'HTTP/1.1 200 OK\r\n' + fields.encode() + b'\r\n' + body)
    return False


def _half_head(server, sock, wire, own, body):
    _send_half_head(sock, own)
    return False


def _half_status_line(server, sock, wire, own, body):
    sock.sendall(b'HTTP/1.1 200 O')
    return False


def _send_half_head(sock, own):
    """Send the head of a success without its end."""
    fields = ''.join(f'{name}: {value}\r\n' for name, value in own.items())
    sock.sendall(b'HTTP/1.1 200 OK\r\n' + fields.encode() + b'Content-Le')


FAULTS = {
    'half a head': _half_head,
    'half a status line': _half_status_line,
    '': _good,
    'failure': _failure,
    'late failure': _late_failure,
    'failure after 2.4 s': _failure_after_seconds,
    'half a body after 2.2 s': _half_body_after_seconds,
    'slow': _slow,
    'crash': _crash,
    'long stray after 2.4 s': _long_stray_after_seconds,
    'unsigned': _unsigned,
    'of another': _of_another,
    'extra': _extra,
    'stray first': _stray_first,
    'signs of another request': _signs_of_another,
    'signs of a proxy': _signs_of_proxy,
    'repeated refusal': _repeated_refusal,
    'repeated refusal without id': _repeated_refusal_without_id,
    'keep-alive of 5000 digits': _long_keep_alive,
    'no http': _no_http,
    'cut': _cut,
    'reset': _reset,
    'silent': _silent,
    'unframed': _unframed,
    'status 503 after 0.8 s': _late_refusal_status,
} | {
    f'status {status}{what}': functools.partial(_failure_with, status, signs)
    for status in (400, 408, 409, 429, 500, 503, 504)
    for what, signs in (
        ('', {}),
        (', retry later', {'Retry-After': '0.3'}),
        (', leaving', {'Server-Leaving': '1'}),
    )
}
# Those with which an engine does not begin a stream.
UNSTREAMED_FAULTS = {
    'half a head',
    'half a status line',
    'unsigned',
    *(fault for fault in FAULTS if fault.startswith('status ')),
}


# Of the callers' requests, and of the engines.
PROMPT_TOKENS = 1000
TOKENS_PER_EVENT = 4
# Calls that stop a run: the seconds until the response, and its status; None
# if the connection closes without one.
STOP_CALLS = {
    'is answered late': (1.4, 200),
    'keeps the copy at the source': (0.3, 503),
    'is not answered': (0.1, None),
}
# For how long an engine stops sending events of a generation.
PAUSE_SECONDS = {'pause': 1.5, 'long pause': 3.0}
# What a stalled engine keeps sending, and the pause between.
STALLS = {
    'comments': (b': working\n\n', 0.05),
    'drip': (b'd', 0.05),
    'flood': (b': working\n\n' * 500, 0),
    'endless': (b'd' * 8000, 0),
}


class Engine(Server):
    """A model server that streams numbered events.

    Engines of one test share ``copies``: the events made of each run, by
    the address that keeps them and the handle.
    """

    def __init__(self, server_id, copies, **more):
        super().__init__(server_id, service='engine', **more)
        self.copies = copies
        self.events = 20
        self.gap = 0.01
        self.leaves = False
        self.moves = []
        self.stopped = {}
        self.made = {}
        # The ids of runs that it has accepted and not ended.
        self.begun = set()
        # The ids of runs that it has lost without a sign to their callers.
        self.lost = set()
        # The numbers of all events that it wrote, by the id of the request.
        self.written = {}
        self.prefill = 0.0
        self.leases = []
        self.is_full = False
        # Seconds until a lease is given.
        self.lease_delay = 0.0
        # The tokens that fit; 0 if all do.
        self.memory = 0
        # What happens to the first try of each generation, and the ids of
        # those that have been tried; engines may share the set.
        self.first_try_fault, self.tried = '', set()
        self.held_by_lease = {}
        self.tokens_by_run = {}
        self.reading = 0
        self.most_reading = 0
        self.reports_backups = False
        # The ids of requests that went on from another one's memory, and of
        # those that ran on another engine at the same time.
        self.mixed = []
        self.overlapping = []
        self.peers = []
        # Whether streams have no chunks and end with their connection.
        self.is_unframed = False
        # What happens to the call that stops a run to move it, a key of
        # ``STOP_CALLS``.
        self.on_stop_call = ''
        # The part of a prompt on which it ends, if any, and what is called
        # then with the engine.
        self.crashing_part = None
        self.on_crash = None
        self.has_crashed = False

    def report(self):
        return json.dumps(
            {
                'active': len(self.made),
                'queued': 0,
                'kv_used': 0,
                'held': self._held_tokens() if self.reports_backups else 0,
                'state': 'draining' if self.leaves else 'ready',
                'runs': [
                    (attempt, PROMPT_TOKENS, self.made.get(attempt, 0), 0)
                    for attempt in self.begun | set(self.made)
                    if attempt not in self.lost
                ],
            }
            | self.told_start()
        ).encode()

    def _held_tokens(self):
        made = [
            n for c, n in self.copies.items() if c.startswith(self.address)
        ]
        return sum(PROMPT_TOKENS + TOKENS_PER_EVENT * n for n in made)

    def serve_request(self, sock, wire, fields):
        if fields['path'] == '/v1/kv-move':
            return self._move(sock, wire)
        if fields['path'] == '/v1/hold-take':
            return self._reserve(sock, wire)
        if fields['path'].startswith(RELEASE_CALL):
            self.held_by_lease.pop(fields['path'][len(RELEASE_CALL) :], None)
            return self._send(sock, wire, 200, {}, b'{}')
        attempt = fields['kingcupfront-attempt-id']
        own = {'Kingcupfront-Attempt-Id': attempt}
        fault = self._next_fault(attempt)
        first = 1
        # A request that is turned away leaves the copy as it is.
        if fault != 'shed' and 'kv-from' in fields:
            if fields['kv-from'] not in self.copies:
                fault = 'shed'
            else:
                first = int(fields.get('last-event-id', 0)) + 1
                self._note_continuation(attempt, fields['kv-from'])
                self.copies.pop(fields['kv-from'])
                self.stopped.pop(attempt, None)
        elif 'last-event-id' in fields:
            first = int(fields['last-event-id']) + 1
        if fault == 'shed':
            own['Kingcupfront-Not-Executed'] = '1'
            return self._send(sock, wire, 503, own, b'')
        self.note_run(attempt, fields)
        own['Kingcupfront-Server-Signature'] = SIGNATURE
        if fault == 'failure':
            return self._send(sock, wire, 500, own, b'own failure')
        if fault in UNSTREAMED_FAULTS:
            return FAULTS[fault](self, sock, wire, own, b'not an event')
        self.begun.add(attempt)
        try:
            return self._stream(sock, wire, fields, own, first, fault)
        finally:
            self.begun.discard(attempt)

    def _next_fault(self, attempt):
        if self.first_try_fault and attempt not in self.tried:
            self.tried.add(attempt)
            return self.first_try_fault
        return self.faults.pop(0) if self.faults else ''

    def _note_continuation(self, attempt, copy):
        if not copy.endswith(attempt):
            self.mixed.append(attempt)
        self.overlapping += [
            attempt
            for engine in self.peers
            if engine is not self
            and attempt in engine.made
            and attempt not in engine.stopped
        ]

    def _stream(self, sock, wire, fields, own, first, fault):
        attempt = own['Kingcupfront-Attempt-Id']
        self.lost.discard(attempt)
        if fault == 'repeat':
            self.repeat_refusal(sock)
        self._read_prompt(attempt, fields)
        if is_closed(sock) or self._crashes_on(fields):
            return False
        self._send_stream_head(sock, wire, own)
        kind, _, at = fault.partition(' at ')
        for number in range(first, self.length(fields) + 1):
            if kind in PAUSE_SECONDS and number == int(at):
                gevent.sleep(PAUSE_SECONDS[kind])
            elif at and number == int(at):
                return self._break(sock, wire, kind, attempt, number)
            if attempt in self.stopped:
                del self.made[attempt]
                return False
            self._event(sock, wire, attempt, number)
            if 'kingcupfront-kv-backup' in fields:
                name = f'{fields["kingcupfront-kv-backup"]}/{attempt}'
                self.copies[name] = number
            gevent.sleep(self.gap)
        self.made.pop(attempt, None)
        self.tokens_by_run.pop(attempt, None)
        if self.is_unframed:
            return False
        sock.sendall(wire.send(h11.EndOfMessage()))
        return True

    def _read_prompt(self, attempt, fields):
        self.held_by_lease.pop(fields.get('kingcupfront-retention'), None)
        usage = fields.get('kingcupfront-token-usage', '0,0')
        self.tokens_by_run[attempt] = int(usage.split(',')[0])
        self.reading += 1
        self.most_reading = max(self.most_reading, self.reading)
        gevent.sleep(self.prefill)
        self.reading -= 1

    def _send_stream_head(self, sock, wire, own):
        headers = [*(own | self.signs).items()]
        headers.append(('Content-Type', 'text/event-stream'))
        self.replied_signs += bool(self.signs)
        if not self.is_unframed:
            headers.append(('Transfer-Encoding', 'chunked'))
            head = h11.Response(status_code=200, headers=headers)
            sock.sendall(wire.send(head))
            return
        fields = ''.join(f'{name}: {value}\r\n' for name, value in headers)
        sock.sendall(f'HTTP/1.1 200 OK\r\n{fields}\r\n'.encode())

    def _send_data(self, sock, wire, data):
        if not self.is_unframed:
            data = wire.send(h11.Data(data=data))
        sock.sendall(data)

    def _crashes_on(self, fields):
        prompt = fields.get('kingcupfront-prefix-hash', '')
        parts = [part.partition(':')[0] for part in prompt.split(',')][:-1]
        if self.has_crashed or self.crashing_part in parts:
            self.has_crashed = True
            self.crash()
            if self.on_crash is not None:
                gevent.spawn(self.on_crash, self)
            return True
        return False

    def length(self, fields):
        """Return how many events the answer to a request has."""
        return self.events

    def _event(self, sock, wire, attempt, number):
        self.made[attempt] = number
        self.written.setdefault(attempt, []).append(number)
        text = self.event_text(attempt, number)
        data = f'id: {number}\ndata: {text}\n\n'.encode()
        self._send_data(sock, wire, data)

    def event_text(self, attempt, number):
        """Return what an event of a run says."""
        return f'{attempt} {number}'

    def _break(self, sock, wire, kind, attempt, number):
        if kind == 'half':
            self._send_data(sock, wire, f'id: {number}\nda'.encode())
        elif kind == 'skip':
            self._event(sock, wire, attempt, number + 1)
            gevent.sleep(0.2)
        elif kind == 'silent':
            self.lose(attempt)
            sock.recv(1)
            self.closed_early.append(attempt)
        elif kind in STALLS:
            self._stall(sock, wire, attempt, *STALLS[kind])
        elif kind == 'reset':
            _reset(self, sock, wire, {}, b'')
        elif kind == 'end':
            sock.sendall(wire.send(h11.EndOfMessage()))
        elif kind == 'exit':
            self.crash()
        self.made.pop(attempt, None)
        return False

    def lose(self, attempt):
        """Work on a run no longer, without a sign to its caller."""
        self.lost.add(attempt)

    def _stall(self, sock, wire, attempt, data, gap):
        try:
            while True:
                self._send_data(sock, wire, data)
                # A closed connection is noticed at once, as by other engines.
                resumed_at = time.monotonic() + gap
                while time.monotonic() < resumed_at:
                    if is_closed(sock):
                        raise OSError('closed by the gateway')
                    gevent.sleep(0.01)
                gevent.sleep(0)
        except OSError:
            self.closed_early.append(attempt)

    def _reserve(self, sock, wire):
        call = json.loads(self.bodies[-1])
        self.leases.append(call)
        lease = f'lease-{self.id}-{len(self.leases)}'
        gevent.sleep(self.lease_delay)
        taken = sum(self.held_by_lease.values())
        taken += sum(self.tokens_by_run.values()) + call['token_count']
        if self.is_full or (self.memory and taken > self.memory):
            return self._send_call_response(sock, wire, 503, b'{}')
        self.held_by_lease[lease] = call['token_count']
        body = json.dumps({'retention': lease}).encode()
        return self._send_call_response(sock, wire, 200, body)

    def _move(self, sock, wire):
        call = json.loads(self.bodies[-1])
        self.moves.append(call)
        attempt = call['instance_id']
        if attempt not in self.made:
            return self._send_call_response(sock, wire, 404, b'{}')
        if call.get('last') and self.on_stop_call == 'finds that it ended':
            while attempt in self.made:
                gevent.sleep(0.01)
            gevent.sleep(0.1)
            return self._send_call_response(sock, wire, 404, b'{}')
        if call.get('last') and self.on_stop_call == 'is turned away':
            return self._send_call_response(sock, wire, 503, b'{}')
        if call.get('last'):
            self.stopped[attempt] = True
        handle = f'h-{attempt}'
        created = self.made[attempt]
        self.copies[f'{self.address}/{handle}'] = created
        body = json.dumps({'kv_handle': handle, 'created': created}).encode()
        status = 200
        if call.get('last') and self.on_stop_call:
            seconds, status = STOP_CALLS[self.on_stop_call]
            gevent.sleep(seconds)
        if status is None:
            return False
        return self._send_call_response(sock, wire, status, body)
