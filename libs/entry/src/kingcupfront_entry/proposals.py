"""Encoding of the proposals that watchers exchange."""

import typing

from kingcupfront_config import lineage
from kingcupfront_peer import codec

MAX_ANCESTORS = 16


def fields(item: lineage.Lineage, in_force: bool) -> dict[str, typing.Any]:
    """Return the message fields of a proposal.

    :param proposed: the lineage of the proposed set; revision 0 for none.
    :param in_force: whether the set is in force at the sender.
    """
    return {
        'revision': item.revision,
        'digest': item.digest,
        'basedOn': item.based_on,
        'ancestors': [
            {'revision': a.revision, 'digest': a.digest}
            for a in item.ancestors[:MAX_ANCESTORS]
        ],
        'inForce': in_force,
    }


def read(body: typing.Any) -> lineage.Lineage:
    """Return the lineage of the set that a message proposes.

    :param body: the ``Proposal`` struct.
    """
    return lineage.Lineage(
        body.revision,
        body.digest,
        body.basedOn,
        tuple(lineage.Ancestor(a.revision, a.digest) for a in body.ancestors),
    )


def decode(data: bytes) -> lineage.Lineage:
    """Return the lineage of the set that an encoded message proposes.

    :param data: the encoded message.
    :raises FrameError: if the message is damaged.
    """
    with codec.open_struct(codec.schema.Proposal, data) as body:
        return read(body)
