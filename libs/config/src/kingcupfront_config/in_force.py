"""The configuration in force in one process."""

from collections.abc import Callable
import dataclasses
import json

import pydantic

from kingcupfront_config import errors
from kingcupfront_config import objects


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why a published set did not come into force.

    :param revision: its revision, if it could be read.
    :param reason: what is wrong with it.
    """

    revision: int | None
    reason: str


class InForce:
    """Holds the last good set and refuses what must not replace it."""

    def __init__(self) -> None:
        self.current: objects.ObjectSet | None = None
        self.data = b''
        self.refusal: Refusal | None = None
        self.listeners: list[Callable[[objects.ObjectSet], None]] = []

    @property
    def revision(self) -> int:
        """The revision in force, 0 before the first."""
        return self.current.revision if self.current else 0

    def offer(self, data: bytes) -> bool:
        """Take in a published set, from the service or a peer.

        :param data: the set as JSON.
        :returns: whether it came into force now.
        """
        try:
            fresh = objects.ObjectSet.model_validate(json.loads(data))
            self._check(fresh)
        except (ValueError, errors.ConfigError) as error:
            self.refusal = Refusal(_revision(data), _reason(error))
            return False
        if fresh.revision <= self.revision:
            return False
        self.current, self.data, self.refusal = fresh, data, None
        for listener in self.listeners:
            listener(fresh)
        return True

    def _check(self, fresh: objects.ObjectSet) -> None:
        if fresh.revision < self.revision:
            raise errors.RevisionError(
                f'revision {fresh.revision} is older than {self.revision}'
            )


def _revision(data: bytes) -> int | None:
    try:
        return int(json.loads(data)['revision'])
    except (ValueError, LookupError, TypeError):
        return None


def _reason(error: Exception) -> str:
    if isinstance(error, pydantic.ValidationError):
        first = error.errors(include_input=False, include_url=False)[0]
        return f'{".".join(map(str, first["loc"]))}: {first["msg"]}'
    return str(error)
