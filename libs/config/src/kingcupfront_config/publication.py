"""The one JSON value that operators put into the platform's service."""

from collections.abc import Iterable
import json
import typing

from kingcupfront_config import objects


def compose(
    items: Iterable[typing.Any], *, revision: int, based_on: int
) -> bytes:
    """Return checked objects in the form in which they are published.

    Fields that were not set are left out, so that defaults stay defaults.

    :param items: the objects.
    :param revision: the revision that the set will have.
    :param based_on: the revision that the operators edited.
    """
    current = objects.ObjectSet(
        revision=revision, based_on=based_on, objects=tuple(items)
    )
    value = current.model_dump(mode='json', exclude_unset=True)
    return json.dumps(value, separators=(',', ':')).encode()
