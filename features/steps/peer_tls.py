"""Steps for TLS between entries."""

import pathlib
import socket
import ssl
import tempfile

import behave
import trustme

from kingcupfront_config import tls_files
from kingcupfront_core import address
from kingcupfront_peer import codec
from kingcupfront_peer import errors
from kingcupfront_peer import link

LOOPBACK = address.Address('127.0.0.1', 0)
TIMEOUT_SECONDS = 10.0


def write_tls_files(context, authority):
    directory = tempfile.TemporaryDirectory()
    context.stack.callback(directory.cleanup)
    folder = pathlib.Path(directory.name)
    issued = authority.issue_cert('127.0.0.1')
    issued.cert_chain_pems[0].write_to_path(folder / 'certificate')
    issued.private_key_pem.write_to_path(folder / 'key')
    authority.cert_pem.write_to_path(folder / 'authority')
    names = ('certificate', 'key', 'authority')
    return tls_files.Files(**{name: str(folder / name) for name in names})


def build_client_context(context, kind):
    if kind == 'no TLS':
        return None
    if kind == 'another authority':
        return tls_files.client_context(write_tls_files(context, trustme.CA()))
    if kind == 'no certificate':
        ssl_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        ssl_context.check_hostname = False
        context.authority.configure_trust(ssl_context)
        return ssl_context
    return tls_files.client_context(
        write_tls_files(context, context.authority)
    )


@behave.given(
    'a link that listens with {server} and one that calls with {client}'
)
def listening_and_calling_links(context, server, client):
    context.authority = trustme.CA()
    server_context = None
    if server == 'TLS':
        server_context = tls_files.server_context(
            write_tls_files(context, context.authority)
        )
    frame_codec = codec.Codec(['secret'])
    listening_link = link.Link(
        'one', frame_codec, server_context=server_context
    )
    listening_link.handlers.register('echo')(lambda message: message.body)
    context.address = context.stack.enter_context(
        listening_link.listening(LOOPBACK)
    )
    context.calling_link = link.Link(
        'two',
        frame_codec,
        client_context=build_client_context(context, client),
    )


@behave.when('{count:d} connections to the listening link send nothing')
def open_silent_connections(context, count):
    for _ in range(count):
        sock = socket.create_connection(tuple(context.address))
        context.stack.callback(sock.close)


@behave.then('the call over the links gives {result}')
def call_over_links(context, result):
    try:
        answer = context.calling_link.call(
            context.address, 'echo', b'body', TIMEOUT_SECONDS
        )
    except errors.PeerError as error:
        assert result.startswith('a failure'), error
        assert 'unsent' not in result or not error.sent, error
    else:
        assert result == 'an answer', result
        assert answer.body == b'body', answer


@behave.then('TLS files without an authority are refused for calls to peers')
def authority_required(context):
    files = write_tls_files(context, trustme.CA()).model_copy(
        update={'authority': None}
    )
    try:
        tls_files.client_context(files)
    except tls_files.TlsFileError as error:
        assert 'authority' in str(error)
    else:
        raise AssertionError('TLS files without an authority were accepted')
