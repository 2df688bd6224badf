"""A server that answers every request with the same raw bytes."""

import contextlib
import socket

import gevent
from gevent import server as servers

BODY = b'{}'
# Time between the pieces of a series without end.
GAP_SECONDS = 0.005
# The stand-in ends a series by itself after this time, so that a test ends.
MAX_SECONDS = 15.0
CLOSE_SECONDS = 5.0
ID_FIELD = b'kingcupfront-attempt-id:'
SIGNATURE = b'Kingcupfront-Server-Signature: signed\r\n'
LENGTH = b'Content-Length: 2\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
# A target of a gateway and one of an entry say so if they did not run a call.
NOT_RUN = b'Kingcupfront-Not-Executed: 1\r\nKingcupfront-Outcome: not_run\r\n'
# For each kind: the status line after the version, the framing, the body.
KINDS = {
    '000': (b' 000 Zero', LENGTH, BODY),
    '099': (b' 099 Low', LENGTH, BODY),
    '00': (b' 00 Short', LENGTH, BODY),
    '101 unasked': (b' 101 Switching Protocols', LENGTH, BODY),
    '199': (b' 199 Odd', LENGTH, b''),
    '600': (b' 600 High', LENGTH, BODY),
    '999': (b' 999 High', LENGTH, BODY),
    '2000': (b' 2000 Long', LENGTH, BODY),
    '+20': (b' +20 Sign', LENGTH, BODY),
    '+200': (b' +200 Sign', LENGTH, BODY),
    '2_00': (b' 2_00 Mark', LENGTH, BODY),
    'two blanks': (b'  200 OK', LENGTH, BODY),
    'a tab': (b'\t200 OK', LENGTH, BODY),
    'a blank in it': (b' 2 00 OK', LENGTH, BODY),
    'no status': (b' ', LENGTH, BODY),
    '204 with a body': (b' 204 No Content', LENGTH, BODY),
    '204 in chunks': (b' 204 No Content', CHUNKED, b'2\r\n{}\r\n0\r\n\r\n'),
    '304 with a body': (b' 304 Not Modified', LENGTH, BODY),
    '0': (b' 0 Short', LENGTH, BODY),
    '0200': (b' 0200 Long', LENGTH, BODY),
    '103 and 000': (
        b' 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 000 Zero',
        LENGTH,
        BODY,
    ),
    '103 and 0200': (
        b' 103 Early Hints\r\n\r\nHTTP/1.1 0200 Long',
        LENGTH,
        BODY,
    ),
    # Sound replies.
    '200': (b' 200 OK', LENGTH, BODY),
    '103 and 200': (
        b' 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK',
        LENGTH,
        BODY,
    ),
    '404': (b' 404 Not Found', LENGTH, BODY),
    '599': (b' 599 Last', LENGTH, BODY),
    '204': (b' 204 No Content', b'', b''),
    '304 with a length': (b' 304 Not Modified', LENGTH, b''),
}
# Replies of status 200, or as stated, whose fields or framing are at fault.
ODD_LINES = {
    'a blank in a name': b'X Odd: 1\r\n',
    'a tab in a name': b'X\tOdd: 1\r\n',
    'a zero byte in a name': b'X\x00Odd: 1\r\n',
    'a control byte in a name': b'X\x01Odd: 1\r\n',
    'a DEL in a name': b'X\x7fOdd: 1\r\n',
    'a byte above ASCII in a name': b'X\xe9Odd: 1\r\n',
    'a quote in a name': b'X"Odd: 1\r\n',
    'an empty name': b': 1\r\n',
    'a blank before the colon': b'X-Odd : 1\r\n',
    'a line without a colon': b'X-Odd\r\n',
    'a zero byte in a value': b'X-Odd: a\x00b\r\n',
    'a control byte in a value': b'X-Odd: a\x01b\r\n',
    'an escape in a value': b'X-Odd: a\x1bb\r\n',
    'a DEL in a value': b'X-Odd: a\x7fb\r\n',
    'a carriage return in a value': b'X-Odd: a\rb\r\n',
    'a form feed in a value': b'X-Odd: a\x0cb\r\n',
    'a control byte in a continued value': b'X-Odd: a\r\n \x01b\r\n',
}
FAULTY_HEADS = {
    'a folded first line': (b' 200 OK\r\n X-Odd: 1', LENGTH, BODY),
    'a control byte in the reason': (b' 200 O\x01K', LENGTH, BODY),
    'version 2.0': (b' 200 OK', LENGTH, BODY),
    'the end within its head': (b' 200 OK', b'Content-Le', b''),
    'the end before the blank line': (
        b' 200 OK',
        b'Content-Length: 0\r\n',
        b'',
    ),
    'an informational head with a blank in a name': (
        b' 103 Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK',
        LENGTH,
        BODY,
    ),
    'an informational head with a control byte': (
        b' 103 Hints\r\nX-Odd: \x01\r\n\r\nHTTP/1.1 200 OK',
        LENGTH,
        BODY,
    ),
    'a refusal with a blank in a name': (
        b' 503 Full',
        LENGTH + NOT_RUN + b'X Odd: 1\r\n',
        BODY,
    ),
    'a refusal with a control byte in a value': (
        b' 503 Full',
        LENGTH + NOT_RUN + b'X-Odd: \x01\r\n',
        BODY,
    ),
}
LENGTHS = {
    'a length with a plus': b'+2',
    'a length with a minus': b'-2',
    'a length in two parts': b'2 2',
    'a hexadecimal length': b'0x2',
    'a length with an underscore': b'0_2',
    'an empty length': b'',
    'a length that is no number': b'two',
    'two lengths in one': b'2, 3',
    'a length of 400 digits': b'0' * 399 + b'2',
    'a length of 5000 digits': b'9' * 5000,
}
FAULTY_FRAMING = {
    'two different lengths': LENGTH + b'Content-Length: 3\r\n',
    'an unknown coding': b'Transfer-Encoding: gzip\r\n',
    'two codings': b'Transfer-Encoding: gzip, chunked\r\n',
    'chunks twice': CHUNKED * 2,
}
FAULTY_CHUNKS = {
    'a chunk size with a plus': b'+2\r\n{}\r\n0\r\n\r\n',
    'a chunk size with a minus': b'-2\r\n{}\r\n0\r\n\r\n',
    'a chunk size with a prefix': b'0x2\r\n{}\r\n0\r\n\r\n',
    'a chunk size after a blank': b' 2\r\n{}\r\n0\r\n\r\n',
    'a chunk size with an underscore': b'0_2\r\n{}\r\n0\r\n\r\n',
    'a chunk without its line end': b'2\r\n{}XX0\r\n\r\n',
    'no last blank line': b'2\r\n{}\r\n0\r\n',
    'a last chunk cut short': b'2\r\n{}\r\n0\r',
    'a trailer with a blank in its name': (
        b'2\r\n{}\r\n0\r\nX Odd: 1\r\n\r\n'
    ),
    'a trailer with a control byte': (b'2\r\n{}\r\n0\r\nX-Odd: \x01\r\n\r\n'),
    'a trailer without an end': b'2\r\n{}\r\n0\r\nX-Odd: 1\r\n',
}
# Sound replies that look like the faulty ones.
SOUND_LINES = {
    'all characters of names': b"!#$%&'*+-.^_`|~09azAZ: 1\r\n",
    'an empty value': b'X-Odd:\r\n',
    'no blank after the colon': b'X-Odd:1\r\n',
    'blanks around a value': b'X-Odd: \t 1 \t \r\n',
    'a tab in a value': b'X-Odd: a\tb\r\n',
    'bytes above ASCII in a value': b'X-Odd: \x80\x85\xff\r\n',
    'colons in a value': b'X-Odd: a: b: c\r\n',
    'a continued value': b'X-Odd: a\r\n b\r\n\tc\r\n',
    'lines that end without a carriage return': b'X-Odd: 1\nX-Too: 2\n',
}
SOUND_FRAMING = {
    'the same length twice': (LENGTH * 2, BODY),
    'the same length twice in one': (b'Content-Length: 2, 2\r\n', BODY),
    'a length with zeros': (b'Content-Length: 0002\r\n', BODY),
    'a length between blanks': (b'Content-Length: \t2 \r\n', BODY),
    'a length on the next line': (b'Content-Length:\r\n 2\r\n', BODY),
    'chunks in capitals': (
        b'TRANSFER-ENCODING: Chunked \r\n',
        b'2\r\n{}\r\n0\r\n\r\n',
    ),
    'a chunk size with zeros': (CHUNKED, b'0002\r\n{}\r\n000\r\n\r\n'),
    'a chunk size before blanks': (CHUNKED, b'2 \t\r\n{}\r\n0\r\n\r\n'),
    'chunks with extensions': (
        CHUNKED,
        b'2;a=b;c="d e"\r\n{}\r\n0;last\r\n\r\n',
    ),
    'trailers': (CHUNKED, b'2\r\n{}\r\n0\r\nX-Sum: 1\r\nX-B:\r\n\r\n'),
    'chunks and a length': (LENGTH + CHUNKED, b'2\r\n{}\r\n0\r\n\r\n'),
}
# An event in two chunks, with bytes before the size of each.
EVENT_CHUNKS = b'%b9\r\ndata: one\r\n%b5\r\ntwo\n\n\r\n0\r\n\r\n'
EVENTS = {
    'an event in chunks': (CHUNKED, EVENT_CHUNKS % (b'', b'')),
    'an event in chunks in capitals': (
        b'TRANSFER-ENCODING: Chunked\r\n',
        EVENT_CHUNKS % (b'', b'00'),
    ),
    'an event in chunks with a blank before a size': (
        CHUNKED,
        EVENT_CHUNKS % (b'', b' '),
    ),
}
OK = b' 200 OK'
KINDS |= {name: (OK, *parts) for name, parts in EVENTS.items()}
KINDS |= {name: (OK, line + LENGTH, BODY) for name, line in ODD_LINES.items()}
KINDS |= FAULTY_HEADS
KINDS |= {
    name: (OK, b'Content-Length: %b\r\n' % length, BODY)
    for name, length in LENGTHS.items()
}
KINDS |= {name: (OK, lines, BODY) for name, lines in FAULTY_FRAMING.items()}
KINDS |= {name: (OK, CHUNKED, body) for name, body in FAULTY_CHUNKS.items()}
KINDS |= {
    name: (OK, line + LENGTH, BODY) for name, line in SOUND_LINES.items()
}
KINDS |= {name: (OK, *parts) for name, parts in SOUND_FRAMING.items()}
# An informational head alone is sound; the end of the connection makes it a
# reply without a final head.
CLOSED_AFTER_REPLY = frozenset(
    {'199', *ODD_LINES, *FAULTY_HEADS, *LENGTHS, *FAULTY_FRAMING}
    | set(FAULTY_CHUNKS)
)
# These end before the blank line after the head.
CUT_HEADS = frozenset(
    {'the end within its head', 'the end before the blank line'}
)
ENDLESS = {
    '100 without end': b'HTTP/1.1 100 Continue\r\n\r\n',
    '199 without end': b'HTTP/1.1 199 Odd\r\n\r\n',
}


class RawServer:
    """Answers requests and counts them.

    :param kind: which bytes, a key of ``KINDS`` or ``ENDLESS``.
    :param fields: more header lines, each with its end.
    """

    def __init__(self, kind, fields=b''):
        self._kind = kind
        self._fields = fields
        self.requests = 0
        self.open_connections = 0
        self._listener = servers.StreamServer(('127.0.0.1', 0), self._serve)

    def serve(self, stack):
        self._listener.start()
        stack.callback(self._listener.stop, 0)
        return self

    @property
    def port(self):
        return self._listener.server_port

    def wait_until_closed(self):
        """Wait until each client has closed its connections."""
        with gevent.Timeout(CLOSE_SECONDS, False):
            while self.open_connections:
                gevent.sleep(GAP_SECONDS)
        assert not self.open_connections, self.open_connections

    def _serve(self, sock, _):
        self.open_connections += 1
        try:
            with contextlib.suppress(OSError):
                self._answer(sock)
        finally:
            sock.close()
            self.open_connections -= 1

    def _answer(self, sock):
        while request := sock.recv(65536):
            self.requests += 1
            if self._kind in ENDLESS:
                self._send_without_end(sock)
                return
            sock.sendall(self._reply(request))
            if self._kind in CLOSED_AFTER_REPLY:
                # A close with unread bytes of the request would be a reset.
                sock.shutdown(socket.SHUT_WR)
                while sock.recv(65536):
                    pass
                return

    def _send_without_end(self, sock):
        with gevent.Timeout(MAX_SECONDS, False):
            while True:
                sock.sendall(ENDLESS[self._kind])
                gevent.sleep(GAP_SECONDS)

    def _reply(self, request):
        echoed = [
            line + b'\r\n'
            for line in request.split(b'\r\n')
            if line.lower().startswith(ID_FIELD)
        ]
        status, framing, body = KINDS[self._kind]
        fields = SIGNATURE + b''.join(echoed) + self._fields + framing
        version = b'2.0' if self._kind == 'version 2.0' else b'1.1'
        head = b'HTTP/' + version + status + b'\r\n' + fields
        return head if self._kind in CUT_HEADS else head + b'\r\n' + body
