"""Steps for replies over TLS that end in different ways."""

import contextlib
import pathlib
import ssl
import tempfile

import behave
import gevent
from gevent import server as servers
import trustme

from features.support import early_server
from kingcupfront_cli import caller

WAIT_SECONDS = 5.0
CLOSE_SECONDS = 0.2
SENDING_SECONDS = 0.1


def _reset(sock):
    # A reset discards what the kernel has not sent yet.
    gevent.sleep(SENDING_SECONDS)
    early_server.set_to_reset(sock)


def _close(sock):
    pass


def _say_end(sock):
    # The client closes without an answer to this message.
    sock.settimeout(CLOSE_SECONDS)
    with contextlib.suppress(OSError):
        sock.unwrap()


ENDINGS = {
    'resets the connection': _reset,
    'closes without close_notify': _close,
    'sends close_notify': _say_end,
}


@behave.given('a TLS server that answers with {answer} and {ending}')
def tls_server(context, answer, ending):
    authority = trustme.CA()
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.authority = pathlib.Path(folder) / 'authority'
    authority.cert_pem.write_to_path(context.authority)
    tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    authority.issue_cert('127.0.0.1').configure_cert(tls)
    framing, body = early_server.ANSWERS[answer]

    def handle(sock, _):
        with contextlib.suppress(OSError):
            sock.settimeout(WAIT_SECONDS)
            data = b''
            while b'\r\n\r\n' not in data:
                data += sock.recv(4096)
            if b'\r\nContent-Length: 1\r\n' in data:
                # A close with unread bytes would be a reset.
                while data.endswith(b'\r\n\r\n'):
                    data += sock.recv(4096)
            sock.sendall(b'HTTP/1.1 200 OK\r\n' + framing + b'\r\n' + body)
            ENDINGS[ending](sock)

    listener = servers.StreamServer(('127.0.0.1', 0), handle, ssl_context=tls)
    listener.start()
    context.stack.callback(listener.stop, 0)
    context.url = f'https://127.0.0.1:{listener.server_port}'


@behave.when('a client of an entry uploads {size:d} bytes to it over TLS')
def upload(context, size):
    context.detail = None
    one = caller.Caller([context.url], 'key', authority=str(context.authority))
    try:
        response = one.call('POST', '/services/desk', b'x' * size)
        context.result = 'whole' if response.status == 200 else response.status
    except caller.CutError as error:
        context.result, context.detail = 'cut', error


@behave.then('the reply over TLS is {result}')
def replied(context, result):
    assert context.result == result, (context.result, context.detail)
