"""Which published set follows from which.

Each set may carry a history: revisions and digests of the sets that it was
made from. A set replaces the one in force only if its history holds it, so
that what was in force is never lost by a race of two publications.
"""

import dataclasses
import enum
import hashlib
import json
import typing

from kingcupfront_config import errors
from kingcupfront_config import objects


class Relation(enum.StrEnum):
    """How a set stands to another one."""

    SAME = 'same'
    DESCENDANT = 'descendant'
    ANCESTOR = 'ancestor'
    RIVAL = 'rival'
    UNPROVED = 'unproved'


@dataclasses.dataclass(frozen=True)
class Ancestor:
    """A set that another one was made from.

    :param revision: its revision.
    :param digest: its digest.
    """

    revision: int
    digest: str


@dataclasses.dataclass(frozen=True)
class Lineage:
    """What a set is and what it was made from.

    :param revision: the revision; 0 stands for no set.
    :param digest: the digest.
    :param based_on: the revision that it was made from; 0 for the first.
    :param ancestors: what its history names, the newest first.
    """

    revision: int = 0
    digest: str = ''
    based_on: int = 0
    ancestors: tuple[Ancestor, ...] = ()

    @property
    def key(self) -> tuple[int, str]:
        """Orders rivals: the lower one goes first."""
        return self.revision, self.digest

    def relation(self, held: 'Lineage') -> Relation:
        """Return how this set stands to another one.

        :param held: the other set, such as the one in force.
        """
        if self.key == held.key:
            return Relation.SAME
        if self in held:
            return Relation.ANCESTOR
        if held.revision == 0 or held in self:
            return Relation.DESCENDANT
        if self.revision <= held.revision:
            return self._older(held)
        if not self.ancestors:
            return self._by_number(held)
        oldest = min(a.revision for a in self.ancestors)
        if held.revision < oldest and self.based_on:
            return Relation.UNPROVED
        return Relation.RIVAL

    def __contains__(self, other: 'Lineage') -> bool:
        return Ancestor(other.revision, other.digest) in self.ancestors

    def _older(self, held: 'Lineage') -> Relation:
        if self.revision == held.revision:
            return Relation.RIVAL
        oldest = min((a.revision for a in held.ancestors), default=0)
        named = held.based_on if not oldest else oldest - 1
        return Relation.ANCESTOR if self.revision <= named else Relation.RIVAL

    def _by_number(self, held: 'Lineage') -> Relation:
        if self.based_on == held.revision:
            return Relation.DESCENDANT
        if self.based_on > held.revision:
            return Relation.UNPROVED
        return Relation.RIVAL


def canonical(value: dict[str, typing.Any]) -> bytes:
    """Return a published value in the one form that digests are made of.

    :param value: the parsed value.
    """
    rows = sorted(value['objects'], key=lambda o: (o['kind'], o['name']))
    return json.dumps(
        value | {'objects': rows}, sort_keys=True, separators=(',', ':')
    ).encode()


def digest(data: bytes) -> str:
    """Return the digest of a set in canonical form, in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def of(current: objects.ObjectSet, data: bytes) -> Lineage:
    """Return the lineage of a set.

    :param current: the set.
    :param data: its canonical form.
    :raises RevisionError: if its history contradicts itself.
    """
    ancestors = tuple(
        Ancestor(a.revision, a.digest)
        for a in sorted(current.history, key=lambda a: -a.revision)
    )
    if current.based_on >= current.revision:
        raise errors.RevisionError('based_on is not below the revision')
    if ancestors and ancestors[0].revision != current.based_on:
        raise errors.RevisionError('the history does not begin at based_on')
    return Lineage(current.revision, digest(data), current.based_on, ancestors)


def history_after(*bases: bytes) -> list[dict[str, typing.Any]]:
    """Return the history of a set that is made from others.

    Two bases make a set that follows from both of two rivals.

    :param bases: published sets, as JSON.
    """
    rows: dict[tuple[int, str], None] = {}
    for data in bases:
        value = json.loads(data)
        rows[value['revision'], digest(canonical(value))] = None
        for row in value.get('history', []):
            rows[row['revision'], row['digest']] = None
    ordered = sorted(rows, reverse=True)[: objects.MAX_HISTORY]
    return [{'revision': r, 'digest': d} for r, d in ordered]
