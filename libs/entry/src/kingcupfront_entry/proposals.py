"""Proposals of sets between watchers, as messages."""

import typing

from kingcupfront_config import lineage
from kingcupfront_peer import codec

MAX_ANCESTORS = 16


def fields(item: lineage.Lineage, in_force: bool) -> dict[str, typing.Any]:
    """Return the fields of a proposal.

    :param item: the set that it is about; revision 0 for none.
    :param in_force: whether it is in force at the sender.
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
    """Return the set that a proposal is about."""
    return lineage.Lineage(
        body.revision,
        body.digest,
        body.basedOn,
        tuple(lineage.Ancestor(a.revision, a.digest) for a in body.ancestors),
    )


def decode(data: bytes) -> lineage.Lineage:
    """Return the set that an encoded proposal is about.

    :raises FrameError: if it is damaged.
    """
    with codec.open_struct(codec.schema.Proposal, data) as body:
        return read(body)
