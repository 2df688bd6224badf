"""The one JSON value that operators put into the platform's service."""

from collections.abc import Iterable
from collections.abc import Sequence
import json
import typing

from kingcupfront_config import in_force
from kingcupfront_config import lineage
from kingcupfront_config import objects


def compose(
    items: Iterable[typing.Any],
    *,
    revision: int,
    based_on: int = 0,
    bases: Sequence[bytes] = (),
) -> bytes:
    """Return checked objects in the form in which they are published.

    Fields that were not set are left out, so that defaults stay defaults.

    :param items: the objects.
    :param revision: the revision that the set will have.
    :param based_on: the revision that the operators edited, without bases.
    :param bases: the published sets that it was made from; with them the
        set carries a history, by which entries that missed a revision
        know that it follows from theirs.
    :raises ConfigError: if a base is no sound set.
    """
    values: dict[str, typing.Any] = {}
    if bases:
        based_on = max(in_force.parse(base).current.revision for base in bases)
        values['history'] = lineage.history_after(*bases)
    current = objects.ObjectSet(
        revision=revision, based_on=based_on, objects=tuple(items), **values
    )
    value = current.model_dump(mode='json', exclude_unset=True)
    return json.dumps(value, separators=(',', ':')).encode()
