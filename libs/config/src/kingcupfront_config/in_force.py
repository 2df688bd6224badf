"""The configuration in force in one process."""

from collections.abc import Callable
import dataclasses
import json
import typing

import pydantic

from kingcupfront_config import check
from kingcupfront_config import errors
from kingcupfront_config import lineage
from kingcupfront_config import objects

ACCEPTED = (lineage.Relation.DESCENDANT, lineage.Relation.UNPROVED)


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why a published set did not come into force.

    :param revision: its revision, if it could be read.
    :param reason: what is wrong with it.
    :param digest: its digest, if it could be read.
    """

    revision: int | None
    reason: str
    digest: str = ''


@dataclasses.dataclass(frozen=True)
class Published:
    """A set that is sound by itself.

    :param current: the set.
    :param data: its canonical form.
    :param lineage: what it was made from.
    """

    current: objects.ObjectSet
    data: bytes
    lineage: lineage.Lineage


class InForce:
    """Holds the last good set and refuses what must not replace it."""

    def __init__(self) -> None:
        self.current: objects.ObjectSet | None = None
        self.data = b''
        self.lineage = lineage.Lineage()
        self.refusal: Refusal | None = None
        self.listeners: list[Callable[[objects.ObjectSet], None]] = []

    @property
    def revision(self) -> int:
        """The revision in force, 0 before the first."""
        return self.lineage.revision

    @property
    def digest(self) -> str:
        """The digest of the set in force, empty before the first."""
        return self.lineage.digest

    def offer(self, data: bytes) -> bool:
        """Take in a published set, from the service or a peer.

        :param data: the set as JSON.
        :returns: whether it came into force now.
        """
        item = self.examine(data)
        return item is not None and self.admit(item)

    def examine(self, data: bytes) -> Published | None:
        """Return a set that may replace the one in force.

        What may not is noted in :attr:`refusal`; the set in force offered
        again is neither.

        :param data: the set as JSON.
        """
        try:
            item = parse(data)
        except errors.ConfigError as error:
            self.refusal = Refusal(_revision(data), str(error))
            return None
        return item if self._follows(item.lineage) else None

    def admit(self, item: Published) -> bool:
        """Put a set in force, unless another one has come before it.

        :param item: what :meth:`examine` returned.
        :returns: whether it is in force now.
        """
        if not self._follows(item.lineage):
            return False
        self.current, self.data = item.current, item.data
        self.lineage, self.refusal = item.lineage, None
        for listener in self.listeners:
            listener(item.current)
        return True

    def _follows(self, fresh: lineage.Lineage) -> bool:
        relation = fresh.relation(self.lineage)
        if relation in (lineage.Relation.SAME, *ACCEPTED):
            return relation in ACCEPTED
        self.refusal = Refusal(
            fresh.revision, self._why(fresh, relation), fresh.digest
        )
        return False

    def _why(self, fresh: lineage.Lineage, relation: lineage.Relation) -> str:
        if relation is lineage.Relation.ANCESTOR:
            return f'revision {fresh.revision} is older than {self.revision}'
        if fresh.revision == self.revision:
            return f'another revision {fresh.revision} is in force'
        if fresh.revision < self.revision:
            return (
                f'revision {self.revision} is in force and was not made '
                f'from this revision {fresh.revision}'
            )
        return (
            f'based on {fresh.based_on}, but revision {self.revision} is in '
            'force and not in its history'
        )


def parse(data: bytes) -> Published:
    """Return a published set that is sound by itself.

    :param data: the set as JSON.
    :raises ConfigError: if it is not.
    """
    try:
        value = json.loads(data, parse_constant=_no_constant)
        current = objects.ObjectSet.model_validate(value)
    except pydantic.ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        path = '.'.join(map(str, first['loc']))
        raise errors.ConfigError(f'{path}: {first["msg"]}') from error
    except (ValueError, RecursionError) as error:
        raise errors.ConfigError(f'not JSON: {error}') from error
    check.require_sound(current)
    canonical = lineage.canonical(value)
    return Published(current, canonical, lineage.of(current, canonical))


def _no_constant(name: str) -> typing.Any:
    raise ValueError(f'{name} is not a number')


def _revision(data: bytes) -> int | None:
    try:
        return int(json.loads(data)['revision'])
    except (ValueError, LookupError, TypeError, RecursionError):
        return None
