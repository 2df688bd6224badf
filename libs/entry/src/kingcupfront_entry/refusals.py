"""Refusals of published sets, as messages between entries."""

import typing

from kingcupfront_config import in_force
from kingcupfront_peer import codec

MAX_REASON_CHARACTERS = 300


def fields(refusal: in_force.Refusal | None) -> dict[str, typing.Any]:
    """Return the fields of a refusal; none has revision 0."""
    if refusal is None or not refusal.digest:
        return {}
    return {
        'revision': refusal.revision,
        'digest': refusal.digest,
        'reason': refusal.reason[:MAX_REASON_CHARACTERS],
    }


def read(body: typing.Any) -> in_force.Refusal | None:
    """Return the refusal in a message, if there is one."""
    if not body.revision:
        return None
    return in_force.Refusal(body.revision, body.reason, body.digest)


def encode(refusal: in_force.Refusal) -> bytes:
    """Return an encoded refusal."""
    return codec.schema.Refused.new_message(**fields(refusal)).to_bytes()


def decode(data: bytes) -> in_force.Refusal | None:
    """Return the refusal that was encoded.

    :raises FrameError: if it is damaged.
    """
    with codec.open_struct(codec.schema.Refused, data) as body:
        return read(body)
