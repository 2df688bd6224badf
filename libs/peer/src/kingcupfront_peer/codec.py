"""Codec of frames: Cap'n Proto messages with an authentication tag."""

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
    :param incarnation: the incarnation of the sender's process.
    :param number: the number of the request; its answer repeats it.
    :param kind: the name of the message kind.
    :param body: the encoded struct of that kind.
    :param failure: in an answer to a failed request, the error's code.
    :param audience: the only incarnation that may accept it; 0 is any.
    """

    sender: str
    incarnation: int
    number: int
    kind: str
    body: bytes = b''
    failure: str = ''
    audience: int = 0


class Codec:
    """Encodes messages as authenticated frames and verifies them.

    :param secrets: the shared secrets, oldest first. The last one signs; all
        are accepted, so that secrets can be rotated.
    """

    def __init__(self, secrets: list[str]) -> None:
        self._keys = [s.encode() for s in secrets]

    def encode(self, message: Message) -> bytes:
        """Return a message as a frame: the tag, then the envelope."""
        envelope = schema.Envelope.new_message(
            version=SCHEMA_VERSION, **vars(message)
        )
        payload = envelope.to_bytes()
        return _tag(self._keys[-1], payload) + payload

    def decode(self, frame: bytes) -> Message:
        """Return the message in a frame.

        :param frame: a frame from :meth:`encode`.
        :raises FrameError: if it is damaged, too large or not authentic.
        """
        if not TAG_BYTES < len(frame) <= MAX_FRAME_BYTES:
            raise errors.FrameError(
                f'frame of {len(frame)} bytes; expected {TAG_BYTES + 1} to '
                f'{MAX_FRAME_BYTES}'
            )
        tag, payload = frame[:TAG_BYTES], frame[TAG_BYTES:]
        if not any(
            hmac.compare_digest(tag, _tag(key, payload)) for key in self._keys
        ):
            raise errors.FrameError(
                'authentication tag matches none of the shared secrets'
            )
        with open_struct(schema.Envelope, payload) as envelope:
            if envelope.version < MIN_SCHEMA_VERSION:
                raise errors.FrameError(
                    f'schema version {envelope.version} is older than '
                    f'{MIN_SCHEMA_VERSION}'
                )
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
    """Open a struct from its encoded bytes while the block runs.

    :param struct: a struct type of :data:`schema`.
    :param data: the encoded bytes.
    :returns: a reader of the fields.
    :raises FrameError: if the bytes are not such a struct. This may show only
        when the block reads a field.
    """
    with contextlib.ExitStack() as stack:
        try:
            reader = stack.enter_context(
                struct.from_bytes(
                    data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
                )
            )
        except (capnp.KjException, ValueError) as error:
            raise errors.FrameError("malformed Cap'n Proto struct") from error
        try:
            yield reader
        except (capnp.KjException, UnicodeDecodeError) as error:
            raise errors.FrameError("malformed Cap'n Proto struct") from error


def _tag(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, payload, 'sha256')
