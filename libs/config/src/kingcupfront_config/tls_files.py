"""TLS for listeners, from files that settings name."""

import pathlib
import ssl

import pydantic

from kingcupfront_config import errors


class TlsFileError(errors.ConfigError):
    """A file of a TLS listener that cannot be used."""

    code = 'bad_tls_file'


class Files(pydantic.BaseModel):
    """Files of a TLS listener.

    :param certificate: path of the certificate chain in PEM.
    :param key: path of the private key in PEM.
    :param authority: path of the authority that peers must be signed by.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    certificate: str
    key: str
    authority: str | None = None


def server_context(files: Files) -> ssl.SSLContext:
    """Return the context of a listener.

    With an authority, a client needs a certificate that it has signed.

    :param files: the files.
    :raises TlsFileError: if a file cannot be used; it names the file.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _load(context, files)
    if files.authority is not None:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(files: Files) -> ssl.SSLContext:
    """Return the context of a call to a peer.

    Peers are known by IP number, so the name is not checked; the authority
    must sign for entries only.

    :param files: the files; the authority is needed.
    :raises TlsFileError: if a file cannot be used, or there is no authority.
    """
    if files.authority is None:
        raise TlsFileError('calls to peers need the file "authority"')
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    _load(context, files)
    return context


def _load(context: ssl.SSLContext, files: Files) -> None:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    for name, path in files.model_dump(exclude_none=True).items():
        try:
            pathlib.Path(path).read_bytes()
        except OSError as error:
            raise TlsFileError(f'{name} {path}: {error.strerror}') from error
    try:
        context.load_cert_chain(files.certificate, files.key)
    except (ssl.SSLError, ValueError) as error:
        raise TlsFileError(
            f'certificate {files.certificate} and key {files.key} do not '
            f'fit together: {error}'
        ) from error
    if files.authority is None:
        return
    try:
        context.load_verify_locations(files.authority)
    except (ssl.SSLError, ValueError) as error:
        raise TlsFileError(f'authority {files.authority}: {error}') from error
