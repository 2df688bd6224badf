"""What changes from one published set to the next."""

import json
import typing

from kingcupfront_config import errors
from kingcupfront_config import lineage


def encode(before: bytes, after: bytes) -> bytes:
    """Return what turns one set into another.

    :param before: a set in canonical form.
    :param after: the other one in canonical form.
    """
    old, new = json.loads(before), json.loads(after)
    old_by_name = _by_name(old)
    new_by_name = _by_name(new)
    changed = [o for k, o in new_by_name.items() if old_by_name.get(k) != o]
    value = {
        'header': {k: v for k, v in new.items() if k != 'objects'},
        'changed': changed,
        'removed': [k for k in old_by_name if k not in new_by_name],
    }
    return json.dumps(value, separators=(',', ':')).encode()


def apply(before: bytes, change: bytes) -> bytes:
    """Return the set that a change leads to, in canonical form.

    :param before: a set in canonical form.
    :param change: what :func:`encode` returned.
    :raises ConfigError: if it is damaged.
    """
    try:
        value = json.loads(change)
        by_name = _by_name(json.loads(before))
        for kind, name in value['removed']:
            by_name.pop((kind, name), None)
        by_name |= _by_name({'objects': value['changed']})
        objects = list(by_name.values())
        return lineage.canonical(value['header'] | {'objects': objects})
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        raise errors.ConfigError('a damaged change of a set') from error


def _by_name(
    value: dict[str, typing.Any],
) -> dict[tuple[str, str], dict[str, typing.Any]]:
    return {(o['kind'], o['name']): o for o in value['objects']}
