"""Heartbeat messages, which one entry process sends to another."""

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
MAX_CACHED_ADDRESSES = 4096


@dataclasses.dataclass(frozen=True)
class Usage:
    """What one team uses through one entry.

    :param team: the team's name.
    :param concurrent: its requests in flight at that entry.
    :param tokens_per_second: its output through that entry.
    """

    team: str
    concurrent: int = 0
    tokens_per_second: float = 0.0


@dataclasses.dataclass(frozen=True)
class Summary:
    """The state of a sender that its heartbeats carry besides membership.

    :param revision: the revision of the configuration in force.
    :param digest: the digest of that configuration.
    :param listing: the index of the instance list.
    :param usage: what each team uses through the sender.
    """

    revision: int = 0
    digest: str = ''
    listing: int = 0
    usage: tuple[Usage, ...] = ()


@dataclasses.dataclass(frozen=True)
class Notice:
    """An event that each process acts on once and forwards to others.

    :param id: random; the same on every process that it reaches.
    :param topic: the name of a registered topic.
    :param body: the content, encoded as the topic defines.
    :param place: the data centre of the process that broadcast it.
    """

    id: int
    topic: str
    body: bytes
    place: str = ''


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """The content of a heartbeat.

    :param own: the sender's record of itself.
    :param revision: the revision of the configuration in force there.
    :param digest: the digest of that configuration.
    :param listing: the index of the sender's instance list.
    :param others: records of other members.
    :param usage: what each team uses through the sender.
    :param notices: recent notices.
    :param probed: in a probe request, the id of the member to probe; in an
        acknowledgement, of the member that answered the relayed probe.
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


def encode(heartbeat: Heartbeat) -> bytes:
    """Return a heartbeat as the body of a message."""
    message = codec.schema.Heartbeat.new_message(
        address=str(heartbeat.own.address),
        place=heartbeat.own.place,
        state=str(heartbeat.own.state),
        counter=heartbeat.own.counter,
        revision=heartbeat.revision,
        digest=heartbeat.digest,
        listing=heartbeat.listing,
        probed=heartbeat.probed,
        answers=heartbeat.answers,
        members=[_member_fields(m) for m in heartbeat.others],
        usage=[
            {
                'team': row.team,
                'concurrent': row.concurrent,
                'tokensPerSecond': row.tokens_per_second,
            }
            for row in heartbeat.usage
        ],
        notices=[dataclasses.asdict(n) for n in heartbeat.notices],
    )
    return message.to_bytes()


def decode(message: codec.Message) -> Heartbeat:
    """Return the heartbeat in the body of a message.

    :param message: an authenticated message.
    :raises FrameError: if the body is damaged or has too many rows.
    :raises BadInputError: if a field has an invalid value.
    """
    with codec.open_struct(codec.schema.Heartbeat, message.body) as body:
        if (
            len(body.members) > MAX_MEMBERS
            or len(body.usage) > MAX_USAGE_ROWS
            or len(body.notices) > MAX_NOTICES
        ):
            raise errors.FrameError(
                f'heartbeat has more than {MAX_MEMBERS} members, '
                f'{MAX_USAGE_ROWS} usage rows or {MAX_NOTICES} notices'
            )
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


@functools.lru_cache(MAX_CACHED_ADDRESSES)
def _parse_address(text: str) -> addresses.Address:
    return addresses.Address.parse(text)


def _member_fields(record: members.Member) -> dict[str, typing.Any]:
    return {
        'instance': record.instance,
        'address': str(record.address),
        'place': record.place,
        'incarnation': record.incarnation,
        'state': str(record.state),
        'counter': record.counter,
    }


def _member(
    body: typing.Any, instance: str, incarnation: int, counter: int
) -> members.Member:
    try:
        state = members.State(str(body.state))
    except ValueError as error:
        raise errors.FrameError(f'unknown member state: {error}') from error
    return members.Member(
        instance=instance,
        address=_parse_address(body.address),
        place=body.place,
        incarnation=incarnation,
        state=state,
        counter=counter,
    )
