"""The set of objects that is published in the configuration service."""

import typing

from kingcupfront_cli import errors
from kingcupfront_config import consul
from kingcupfront_config import in_force
from kingcupfront_config import manifest
from kingcupfront_config import settings
from kingcupfront_core import address
from kingcupfront_core import errors as core_errors


def read(where: str, key: str) -> tuple[typing.Any, ...]:
    """Return the objects that are published.

    :param where: the address of the configuration service.
    :param key: the key of the set.
    :raises CannotCheckError: if there is no sound set, or it cannot be read.
    """
    place = str(address.Address.parse(where))
    source = consul.ConsulSource(
        settings.Platform(configuration=place, instances=place)
    )
    try:
        value = source.read(key, 0, 0.0).data
        if value is None:
            raise errors.CannotCheckError(f'store {where}: no key {key!r}')
        data = manifest.assemble(
            value, lambda part: source.read(part, 0, 0.0).data
        )
        return in_force.parse(data).current.objects
    except errors.CannotCheckError:
        raise
    except core_errors.KingcupfrontError as error:
        raise errors.CannotCheckError(f'store {where}: {error}') from error
