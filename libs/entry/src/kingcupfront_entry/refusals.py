"""Encoding of the refusals of published sets that entries exchange."""

import typing

from kingcupfront_config import in_force
from kingcupfront_peer import codec

MAX_REASON_CHARACTERS = 300


def message_fields(refusal: in_force.Refusal | None) -> dict[str, typing.Any]:
    """Return the message fields of a refusal, empty if there is none.

    :param refusal: the refusal.
    """
    if refusal is None or not refusal.digest:
        return {}
    return {
        'revision': refusal.revision,
        'digest': refusal.digest,
        'reason': refusal.reason[:MAX_REASON_CHARACTERS],
    }


def read_struct(struct: typing.Any) -> in_force.Refusal | None:
    """Return the refusal in a message, None if its revision is 0.

    :param struct: the ``Refused`` struct.
    """
    if not struct.revision:
        return None
    return in_force.Refusal(struct.revision, struct.reason, struct.digest)


def encode(refusal: in_force.Refusal) -> bytes:
    """Return a refusal as an encoded message.

    :param refusal: the refusal.
    """
    return codec.schema.Refused.new_message(
        **message_fields(refusal)
    ).to_bytes()


def decode(data: bytes) -> in_force.Refusal | None:
    """Return the refusal in an encoded message.

    :param data: the encoded message.
    :raises FrameError: if the message is damaged.
    """
    with codec.open_struct(codec.schema.Refused, data) as struct:
        return read_struct(struct)
