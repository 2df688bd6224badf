"""A caller that reads each response as it came, and its requests."""

import contextlib
import dataclasses
import socket

import h11

from features.support import platform_site

WAIT_SECONDS = 15
RECEIVE_BUFFER_BYTES = 4096
DEADLINE_MS = 9000
BODY = b'0123456789'


@dataclasses.dataclass
class Response:
    """What a caller got in place of one response, or as one.

    :param status: 0 if the connection ended without a head.
    """

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = False

    @property
    def summary(self):
        if not self.status:
            return 'none'
        return str(self.status) if self.is_whole else f'{self.status} cut'


class Caller:
    """One connection of a caller.

    :param address: the host and port of the gateway.
    """

    def __init__(self, stack, address):
        self.sock = socket.socket()
        stack.callback(self.sock.close)
        self.sock.settimeout(WAIT_SECONDS)
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.sock.connect(address)
        self._wire = h11.Connection(h11.CLIENT)

    def send(self, data):
        self.sock.sendall(data)

    def try_send(self, data):
        """Send unless the gateway has closed the connection."""
        with contextlib.suppress(OSError):
            self.sock.sendall(data)

    def read(self):
        """Read the next response."""
        found, wire = Response(), self._wire
        if wire.our_state is h11.DONE:
            if wire.their_state is not h11.DONE:
                return found
            wire.start_next_cycle()
        request = h11.Request(
            method='POST', target='/', headers=[('Host', 'x')]
        )
        wire.send(request)
        wire.send(h11.EndOfMessage())
        try:
            self._read_into(found)
        except (OSError, h11.RemoteProtocolError):
            pass  # It stays without its end.
        return found

    def _read_into(self, found):
        while True:
            got = self._wire.next_event()
            if got is h11.NEED_DATA:
                self._wire.receive_data(self.sock.recv(65536))
            elif isinstance(got, h11.Response):
                found.status = got.status_code
                found.headers = {
                    name.decode(): value.decode()
                    for name, value in got.headers
                }
            elif isinstance(got, h11.Data):
                found.body += bytes(got.data)
            elif isinstance(got, h11.EndOfMessage):
                found.is_whole = True
                return
            elif isinstance(got, h11.ConnectionClosed):
                return


def request(site, route, *headers, body=BODY):
    """Return the bytes of a request to a route."""
    lines = [
        f'POST /{route}/2f HTTP/1.1',
        f'Host: {platform_site.HOST}',
        f'Kingcupfront-Attempt-Id: {site.new_id()}',
        f'Kingcupfront-Deadline-Ms: {DEADLINE_MS}',
        'Kingcupfront-Token-Usage: 1000,80',
        f'Authorization: Token {platform_site.KEY}',
        f'Content-Length: {len(body)}',
        *headers,
    ]
    return '\r\n'.join([*lines, '', '']).encode() + body
