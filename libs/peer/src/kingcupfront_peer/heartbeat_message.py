"""Heartbeats: what one process tells another about itself and others."""

import dataclasses
import functools
import typing

from kingcupfront_core import address as addresses
from kingcupfront_peer import codec
from kingcupfront_peer import errors
from kingcupfront_peer import member as members

MAX_MEMBERS = 64
MAX_USAGE_ROWS = 64
MAX_NOTICES = 16
MAX_KEPT_ADDRESSES = 4096


@dataclasses.dataclass(frozen=True)
class Usage:
    """What one team uses through one entry.

    :param team: the team's name.
    :param concurrent: its requests in progress there.
    :param tokens_per_second: its output there, in tokens a second.
    """

    team: str
    concurrent: int = 0
    tokens_per_second: float = 0.0


@dataclasses.dataclass(frozen=True)
class Summary:
    """What a heartbeat says of the sender besides its membership.

    :param revision: the configuration in force.
    :param digest: the digest of that configuration.
    :param listing: the index of the instance list.
    :param usage: what the teams use.
    """

    revision: int = 0
    digest: str = ''
    listing: int = 0
    usage: tuple[Usage, ...] = ()


@dataclasses.dataclass(frozen=True)
class Notice:
    """News that processes pass on to one another once.

    :param id: the same wherever it arrives.
    :param topic: what it is about.
    :param body: what it says.
    :param place: where it was first seen.
    """

    id: int
    topic: str
    body: bytes
    place: str = ''


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """The body of a heartbeat.

    :param own: the sender's statement about itself.
    :param revision: the configuration in force at the sender.
    :param digest: the digest of that configuration.
    :param listing: the index of the sender's instance list.
    :param others: statements about other members.
    :param usage: the teams' use of the sender.
    :param notices: recent news.
    :param probed: whom the receiver should probe for the sender.
    :param answers: the number of the probe that this acknowledges.
    """

    own: members.Member
    revision: int = 0
    digest: str = ''
    listing: int = 0
    others: tuple[members.Member, ...] = ()
    usage: tuple[Usage, ...] = ()
    notices: tuple[Notice, ...] = ()
    probed: str = ''
    answers: int = 0


def encode(item: Heartbeat) -> bytes:
    """Return the body of a heartbeat."""
    message = codec.schema.Heartbeat.new_message(
        address=str(item.own.address),
        place=item.own.place,
        state=str(item.own.state),
        counter=item.own.counter,
        revision=item.revision,
        digest=item.digest,
        listing=item.listing,
        probed=item.probed,
        answers=item.answers,
        members=[_member_fields(m) for m in item.others],
        usage=[
            {
                'team': row.team,
                'concurrent': row.concurrent,
                'tokensPerSecond': row.tokens_per_second,
            }
            for row in item.usage
        ],
        notices=[dataclasses.asdict(n) for n in item.notices],
    )
    return message.to_bytes()


def decode(message: codec.Message) -> Heartbeat:
    """Return the heartbeat in a message.

    :param message: an authenticated message.
    :raises FrameError: if its body is damaged or too long.
    :raises BadInputError: if a field holds no valid value.
    """
    with codec.open_struct(codec.schema.Heartbeat, message.body) as body:
        if (
            len(body.members) > MAX_MEMBERS
            or len(body.usage) > MAX_USAGE_ROWS
            or len(body.notices) > MAX_NOTICES
        ):
            raise errors.FrameError('too many rows')
        own = _member(body, message.sender, message.incarnation, body.counter)
        return Heartbeat(
            own=own,
            revision=body.revision,
            digest=body.digest,
            listing=body.listing,
            others=tuple(
                _member(m, m.instance, m.incarnation, m.counter)
                for m in body.members
            ),
            usage=tuple(
                Usage(u.team, u.concurrent, u.tokensPerSecond)
                for u in body.usage
            ),
            notices=tuple(
                Notice(n.id, n.topic, bytes(n.body), n.place)
                for n in body.notices
            ),
            probed=body.probed,
            answers=body.answers,
        )


@functools.lru_cache(MAX_KEPT_ADDRESSES)
def _address(text: str) -> addresses.Address:
    return addresses.Address.parse(text)


def _member_fields(item: members.Member) -> dict[str, typing.Any]:
    return {
        'instance': item.instance,
        'address': str(item.address),
        'place': item.place,
        'incarnation': item.incarnation,
        'state': str(item.state),
        'counter': item.counter,
    }


def _member(
    body: typing.Any, instance: str, incarnation: int, counter: int
) -> members.Member:
    try:
        state = members.State(str(body.state))
    except ValueError as error:
        raise errors.FrameError('an unknown state') from error
    return members.Member(
        instance=instance,
        address=_address(body.address),
        place=body.place,
        incarnation=incarnation,
        state=state,
        counter=counter,
    )
