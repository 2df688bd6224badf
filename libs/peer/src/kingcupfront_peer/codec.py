"""Frames between entry processes: authenticated Cap'n Proto messages."""

from collections.abc import Iterator
import contextlib
import dataclasses
import hmac
import pathlib
import typing

import capnp

from kingcupfront_peer import errors

SCHEMA_VERSION = 1
TRAVERSAL_LIMIT_WORDS = 2 * 1024 * 1024
MIN_SCHEMA_VERSION = 1
MAX_FRAME_BYTES = 4 * 1024 * 1024
TAG_BYTES = 32

capnp.remove_import_hook()
schema = capnp.load(str(pathlib.Path(__file__).with_name('schema.capnp')))


@dataclasses.dataclass(frozen=True)
class Message:
    """One message from or to a peer.

    :param sender: the sender's instance name.
    :param incarnation: the sender's random process number.
    :param number: ties an answer to its request.
    :param kind: the name of the message kind.
    :param body: the encoded struct of that kind.
    :param failure: the code of the error, in an answer that failed.
    :param audience: the incarnation that it is for; 0 is whoever reads it.
    """

    sender: str
    incarnation: int
    number: int
    kind: str
    body: bytes = b''
    failure: str = ''
    audience: int = 0


class Codec:
    """Encodes and checks frames.

    :param secrets: the shared secrets, oldest first; the last one signs.
    """

    def __init__(self, secrets: list[str]) -> None:
        self._keys = [s.encode() for s in secrets]

    def encode(self, message: Message) -> bytes:
        """Return the frame of a message."""
        envelope = schema.Envelope.new_message(
            version=SCHEMA_VERSION, **vars(message)
        )
        payload = envelope.to_bytes()
        return _tag(self._keys[-1], payload) + payload

    def decode(self, frame: bytes) -> Message:
        """Return the message of a frame.

        :param frame: what :meth:`encode` returned.
        :raises FrameError: if it is damaged, too large or forged.
        """
        if not TAG_BYTES < len(frame) <= MAX_FRAME_BYTES:
            raise errors.FrameError(f'a frame of {len(frame)} bytes')
        tag, payload = frame[:TAG_BYTES], frame[TAG_BYTES:]
        if not any(
            hmac.compare_digest(tag, _tag(key, payload)) for key in self._keys
        ):
            raise errors.FrameError('the tag is wrong')
        with open_struct(schema.Envelope, payload) as envelope:
            if envelope.version < MIN_SCHEMA_VERSION:
                raise errors.FrameError(f'schema {envelope.version}')
            return Message(
                sender=envelope.sender,
                incarnation=envelope.incarnation,
                number=envelope.number,
                kind=envelope.kind,
                body=bytes(envelope.body),
                failure=envelope.failure,
                audience=envelope.audience,
            )


@contextlib.contextmanager
def open_struct(struct: typing.Any, data: bytes) -> Iterator[typing.Any]:
    """Hold a struct read from bytes while the block runs.

    :param struct: a struct of :data:`schema`.
    :param data: its encoded bytes.
    :raises FrameError: if the bytes are not such a struct, found at once or
        when a field is read.
    """
    with contextlib.ExitStack() as stack:
        try:
            message = stack.enter_context(
                struct.from_bytes(
                    data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
                )
            )
        except (capnp.KjException, ValueError) as error:
            raise errors.FrameError('not a message') from error
        try:
            yield message
        except (capnp.KjException, UnicodeDecodeError) as error:
            raise errors.FrameError('not a message') from error


def _tag(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, payload, 'sha256')
