"""Where configuration and the instance list are read."""

import dataclasses
import typing

from kingcupfront_config import instance_list
from kingcupfront_config import settings
from kingcupfront_core import registry


@dataclasses.dataclass(frozen=True)
class Value:
    """A value as the service returned it.

    :param index: grows when the value changes; pass it to wait for more.
    :param data: the bytes, or None if there is no such key.
    """

    index: int
    data: bytes | None


@dataclasses.dataclass(frozen=True)
class Listing:
    """The instance list as the platform returned it.

    :param index: grows when the list changes; pass it to wait for more.
    :param instances: all rows.
    """

    index: int
    instances: tuple[instance_list.Instance, ...]


class Source(typing.Protocol):
    """Anything that reads the platform's services."""

    def read(self, key: str, index: int, wait_seconds: float) -> Value:
        """Return a value, waiting until its index passes ``index``.

        :raises SourceError: if the service cannot be read.
        """

    def instances(self, index: int, wait_seconds: float) -> Listing:
        """Return the list, waiting until its index passes ``index``.

        :raises SourceError: if the list cannot be read.
        """


sources: registry.Registry[typing.Callable[[settings.Platform], Source]] = (
    registry.Registry('platform')
)
