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


def files(context, authority):
    made = tempfile.TemporaryDirectory()
    context.stack.callback(made.cleanup)
    folder = pathlib.Path(made.name)
    issued = authority.issue_cert('127.0.0.1')
    issued.cert_chain_pems[0].write_to_path(folder / 'certificate')
    issued.private_key_pem.write_to_path(folder / 'key')
    authority.cert_pem.write_to_path(folder / 'authority')
    names = ('certificate', 'key', 'authority')
    return tls_files.Files(**{name: str(folder / name) for name in names})


def context_of(context, kind):
    if kind == 'no TLS':
        return None
    if kind == 'another authority':
        return tls_files.client_context(files(context, trustme.CA()))
    if kind == 'no certificate':
        made = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        made.check_hostname = False
        context.authority.configure_trust(made)
        return made
    return tls_files.client_context(files(context, context.authority))


@behave.given(
    'a link that listens with {server} and one that calls with {client}'
)
def two_links(context, server, client):
    context.authority = trustme.CA()
    own = None
    if server == 'TLS':
        own = tls_files.server_context(files(context, context.authority))
    frames = codec.Codec(['secret'])
    answering = link.Link('one', frames, server_context=own)
    answering.handlers.register('echo')(lambda message: message.body)
    context.where = context.stack.enter_context(answering.listening(LOOPBACK))
    context.calling = link.Link(
        'two', frames, client_context=context_of(context, client)
    )


@behave.when('{count:d} connections to the listening link send nothing')
def silent(context, count):
    for _ in range(count):
        sock = socket.create_connection(tuple(context.where))
        context.stack.callback(sock.close)


@behave.then('the call over the links gives {result}')
def call(context, result):
    try:
        answer = context.calling.call(
            context.where, 'echo', b'body', TIMEOUT_SECONDS
        )
    except errors.PeerError as error:
        assert result.startswith('a failure'), error
        assert 'unsent' not in result or not error.sent, error
    else:
        assert result == 'an answer', result
        assert answer.body == b'body', answer


@behave.then('TLS files without an authority are refused for calls to peers')
def needs_authority(context):
    made = files(context, trustme.CA()).model_copy(update={'authority': None})
    try:
        tls_files.client_context(made)
    except tls_files.TlsFileError as error:
        assert 'authority' in str(error)
    else:
        raise AssertionError('the files were taken')
