"""Encoding of the proposals that watchers exchange."""

import typing

from kingcupfront_config import lineage
from kingcupfront_peer import codec

MAX_ANCESTORS = 16


def message_fields(
    proposed: lineage.Lineage, in_force: bool
) -> dict[str, typing.Any]:
    """Return the message fields of a proposal.

    :param proposed: the lineage of the proposed set; revision 0 for none.
    :param in_force: whether the set is in force at the sender.
    """
    return {
        'revision': proposed.revision,
        'digest': proposed.digest,
        'basedOn': proposed.based_on,
        'ancestors': [
            {'revision': a.revision, 'digest': a.digest}
            for a in proposed.ancestors[:MAX_ANCESTORS]
        ],
        'inForce': in_force,
    }


def read_struct(struct: typing.Any) -> lineage.Lineage:
    """Return the lineage of the set that a message proposes.

    :param struct: the ``Proposal`` struct.
    """
    return lineage.Lineage(
        struct.revision,
        struct.digest,
        struct.basedOn,
        tuple(
            lineage.Ancestor(a.revision, a.digest) for a in struct.ancestors
        ),
    )


def decode(data: bytes) -> lineage.Lineage:
    """Return the lineage of the set that an encoded message proposes.

    :param data: the encoded message.
    :raises FrameError: if the message is damaged.
    """
    with codec.open_struct(codec.schema.Proposal, data) as struct:
        return read_struct(struct)
